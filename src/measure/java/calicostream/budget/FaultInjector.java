// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.SplittableRandom;

/** Injects one random fault at a time into a {@link FleetSimulation}, as its plan allows. */
final class FaultInjector {
    static final int FAULT_KINDS = 11;

    private static final long NANOS_PER_MILLI = FleetSimulation.NANOS_PER_MILLI;

    private final FleetSimulation sim;
    private final SplittableRandom random;

    FaultInjector(FleetSimulation sim) {
        this.sim = sim;
        this.random = sim.random;
    }

    void inject() {
        int kind = random.nextInt(FAULT_KINDS);
        if ((sim.faults.kinds() >> kind & 1) == 0) {
            return;
        }
        switch (kind) {
            case 0, 9 -> stopProcess();
            case 1 -> killProcess();
            case 2 -> replaceEngine();
            case 3 -> changeCap();
            case 4 -> {
                sim.recordFault("coordinator moved");
                sim.coordinator.transferLease();
            }
            case 5 -> {
                if (sim.faults.isQuorumLost()) {
                    sim.recordFault("leader moved");
                    sim.loseQuorum(random.nextLong(1_000 * NANOS_PER_MILLI));
                }
            }
            case 6 -> {
                if (sim.faults.isQuorumLost() && random.nextInt(6) == 0) {
                    sim.recordFault("no quorum");
                    sim.loseQuorum(random.nextLong(4_000 * NANOS_PER_MILLI));
                }
            }
            case 7 -> {
                if (random.nextInt(6) == 0) {
                    sim.recordFault("graceful shutdown");
                    randomProcess().leave();
                }
            }
            case 8 -> cutLink();
            default -> {
                // A copy restored from a snapshot must behave like the original.
                byte[] snapshot = sim.machine.snapshot();
                sim.machine.restore(snapshot);
                sim.recordFault("snapshot restored");
            }
        }
    }

    private SimulatedProcess randomProcess() {
        return sim.processes.get(random.nextInt(sim.processes.size()));
    }

    private SimulatedEngine randomEngine() {
        return sim.engines.get(random.nextInt(sim.engines.size()));
    }

    private void stopProcess() {
        sim.recordFault("process stopped");
        randomProcess()
                .stop(
                        random.nextLong(
                                50 * NANOS_PER_MILLI,
                                random.nextBoolean()
                                        ? 4_000 * NANOS_PER_MILLI
                                        : 900 * NANOS_PER_MILLI),
                        random.nextBoolean());
    }

    private void killProcess() {
        if (random.nextInt(3) == 0) {
            sim.recordFault("process killed");
            randomProcess().crash();
        }
    }

    private void replaceEngine() {
        if (random.nextInt(3) == 0) {
            SimulatedEngine engine = randomEngine();
            sim.recordFault("engine replaced");
            engine.replace(sim.now);
            sim.processes.forEach(process -> process.engineReplaced(engine));
            sim.submitEngineUpdate(engine);
        }
    }

    private void changeCap() {
        SimulatedEngine engine = randomEngine();
        sim.recordFault("cap changed");
        int floorSum = sim.settings.processes().size() * sim.settings.pool(engine.pool).floor();
        engine.cap = floorSum + random.nextInt(30);
        sim.submitEngineUpdate(engine);
    }

    private void cutLink() {
        int directions = random.nextInt(1, 4);
        sim.recordFault(directions == 3 ? "link cut" : "link cut one way");
        randomProcess()
                .cutLink(
                        (directions & 1) != 0,
                        (directions & 2) != 0,
                        random.nextLong(3_000 * NANOS_PER_MILLI));
    }
}
