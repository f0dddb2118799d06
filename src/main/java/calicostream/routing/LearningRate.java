// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Gives the weight of one sample in a moving average that starts as a plain mean. */
final class LearningRate {
    /** Weight of one sample once many have been seen: some thirty of them count. */
    static final double MINIMUM = 0.03;

    private LearningRate() {}

    /**
     * Returns the weight of the latest sample.
     *
     * @param samples how many samples there are, this one included
     */
    static double afterSamples(int samples) {
        return Math.max(MINIMUM, 1.0 / samples);
    }
}
