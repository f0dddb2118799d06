// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import java.util.Arrays;
import java.util.List;

/** The links between the simulated members: cut, lossy, duplicating, slow or reordering. */
final class SimulatedNetwork {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long LOOPBACK_DELAY_NANOS = 1000;
    private static final long MIN_DELAY_NANOS = 100_000;
    private static final int USUAL_JITTER_MILLIS = 3;
    private static final int MAX_EXTRA_DELAY_MILLIS = 1000;

    private final SimulatedWorld world;
    private final List<SimulatedMember> members;
    private final boolean[][] isCut;
    private double lossRate;
    private double duplicationRate;
    private double extraDelayRate;
    private int jitterMillis = USUAL_JITTER_MILLIS;

    /**
     * Links between the numbers 1 to {@code size}; members are added to the list by their owner.
     */
    SimulatedNetwork(SimulatedWorld world, List<SimulatedMember> members, int size) {
        this.world = world;
        this.members = members;
        this.isCut = new boolean[size + 1][size + 1];
    }

    void setLossRate(double rate) {
        lossRate = rate;
    }

    void setDuplicationRate(double rate) {
        duplicationRate = rate;
    }

    void setExtraDelayRate(double rate) {
        extraDelayRate = rate;
    }

    void setJitterMillis(int millis) {
        jitterMillis = millis;
    }

    void resetJitter() {
        jitterMillis = USUAL_JITTER_MILLIS;
    }

    /** Cuts or restores one direction. */
    void setCut(int from, int to, boolean cut) {
        isCut[from][to] = cut;
    }

    void setCutBothWays(int first, int second, boolean cut) {
        isCut[first][second] = cut;
        isCut[second][first] = cut;
    }

    void setIsolated(int member, boolean isolated) {
        for (int other = 1; other <= members.size(); other++) {
            setCutBothWays(member, other, isolated);
        }
    }

    void heal() {
        for (boolean[] row : isCut) {
            Arrays.fill(row, false);
        }
        lossRate = 0;
        duplicationRate = 0;
        extraDelayRate = 0;
        resetJitter();
    }

    void send(int from, int to, byte[] frame) {
        if (to < 1 || to > members.size()) {
            return;
        }
        SimulatedMember target = members.get(to - 1);
        if (from == to) {
            deliver(from, target, frame, LOOPBACK_DELAY_NANOS);
            return;
        }
        for (int copies = drawCopies(from, to); copies > 0; copies--) {
            deliver(from, target, frame, drawDelayNanos());
        }
    }

    private int drawCopies(int from, int to) {
        if (isCut[from][to] || world.random.nextDouble() < lossRate) {
            return 0;
        }
        return world.random.nextDouble() < duplicationRate ? 2 : 1;
    }

    private long drawDelayNanos() {
        long delayNanos =
                MIN_DELAY_NANOS + world.random.nextInt(jitterMillis * (int) NANOS_PER_MILLI);
        if (world.random.nextDouble() < extraDelayRate) {
            delayNanos += world.random.nextInt(MAX_EXTRA_DELAY_MILLIS) * NANOS_PER_MILLI;
        }
        return delayNanos;
    }

    private void deliver(int from, SimulatedMember target, byte[] frame, long delayNanos) {
        world.schedule(
                world.now() + delayNanos,
                () -> target.process().execute(() -> target.onFrame(from, frame)));
    }
}
