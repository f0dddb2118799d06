// SPDX-License-Identifier: Apache-2.0
package calicostream.deployments;

import java.util.ArrayDeque;

/**
 * What all front ends together send an engine that has just started, in the rule's window. It would
 * fall at more than N + 2 root N + 2 requests of mean work, where N is the multiple allowed of what
 * it can do now; front ends not told of the start count to a third.
 */
final class SlowStartAccount {
    private record Sent(long at, double work, boolean told) {}

    private final GeneratedDeployment draw;
    private final ArrayDeque<Sent> sent = new ArrayDeque<>();
    double peak;

    SlowStartAccount(GeneratedDeployment draw) {
        this.draw = draw;
    }

    void forget() {
        sent.clear();
    }

    /** Takes what has arrived into account; whether the engine falls. */
    boolean add(long now, SimulatedMachine m, double work, boolean told, RuleViolations breaks) {
        sent.add(new Sent(now, work, told));
        while (sent.peek().at <= now - draw.figures().windowUs()) {
            sent.poll();
        }
        double mean = draw.meanWork();
        double capacity =
                m.cores
                        * m.speed
                        * GeneratedDeployment.CAPACITY
                        * m.warmth()
                        * draw.figures().windowUs();
        double n = draw.figures().multiple() * capacity / mean;
        double all = sent.stream().mapToDouble(Sent::work).sum() / mean;
        double informed = sent.stream().filter(Sent::told).mapToDouble(Sent::work).sum() / mean;
        double share = all / (n + 2 * Math.sqrt(n) + 2);
        peak = Math.max(peak, share);
        if (share > 1) {
            sent.clear();
        }
        if (share > 1 && informed >= all * 2 / 3) {
            breaks.add(
                    "cold",
                    "engine " + m.id + " at " + now + ": " + all + " of " + n + " requests");
        }
        return share > 1;
    }
}
