// SPDX-License-Identifier: Apache-2.0
package calicostream.measure;

import calicostream.deployments.Deployments;

/**
 * Draws deployments, checks the rules on each and compares what is served; the last line holds the
 * figures.
 */
public final class DeploymentsMeasure {
    private static final int DRAWN = 200;

    private DeploymentsMeasure() {}

    /** Arguments: the seed, and the number of one draw to play alone. */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        System.out.println("seed " + seed);
        if (args.length > 1) {
            Deployments.replay(seed, Integer.parseInt(args[1]), System.out::println);
        } else {
            System.out.println(Deployments.figures(seed, DRAWN, System.out::println));
        }
    }
}
