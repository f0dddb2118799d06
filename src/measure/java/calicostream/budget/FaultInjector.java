// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.SplittableRandom;

/** Injects one random fault at a time into a {@link FleetSimulation}, as its plan allows. */
final class FaultInjector {
    static final int FAULT_KINDS = 11;

    private static final long MS = FleetSimulation.MS;

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
                sim.injected("coordinator moved");
                sim.coordinator.move();
            }
            case 5 -> {
                if (sim.faults.isQuorumLost()) {
                    sim.injected("leader moved");
                    sim.loseQuorum(random.nextLong(1_000 * MS));
                }
            }
            case 6 -> {
                if (sim.faults.isQuorumLost() && random.nextInt(6) == 0) {
                    sim.injected("no quorum");
                    sim.loseQuorum(random.nextLong(4_000 * MS));
                }
            }
            case 7 -> {
                if (random.nextInt(6) == 0) {
                    sim.injected("graceful shutdown");
                    process().leave();
                }
            }
            case 8 -> cutLink();
            default -> {
                // A copy that starts from a snapshot continues alike.
                byte[] snapshot = sim.machine.snapshot();
                sim.machine.restore(snapshot);
                sim.injected("snapshot restored");
            }
        }
    }

    private SimulatedProcess process() {
        return sim.processes.get(random.nextInt(sim.processes.size()));
    }

    private SimulatedEngine engine() {
        return sim.engines.get(random.nextInt(sim.engines.size()));
    }

    private void stopProcess() {
        sim.injected("process stopped");
        process()
                .stop(
                        random.nextLong(50 * MS, random.nextBoolean() ? 4_000 * MS : 900 * MS),
                        random.nextBoolean());
    }

    private void killProcess() {
        if (random.nextInt(3) == 0) {
            sim.injected("process killed");
            process().crash();
        }
    }

    private void replaceEngine() {
        if (random.nextInt(3) == 0) {
            SimulatedEngine engine = engine();
            sim.injected("engine replaced");
            engine.replace(sim.now);
            sim.processes.forEach(process -> process.reset(engine));
            sim.announce(engine);
        }
    }

    private void changeCap() {
        SimulatedEngine engine = engine();
        sim.injected("cap changed");
        int floors = sim.settings.processes().size() * sim.settings.pool(engine.pool).floor();
        engine.cap = floors + random.nextInt(30);
        sim.announce(engine);
    }

    private void cutLink() {
        int directions = random.nextInt(1, 4);
        sim.injected(directions == 3 ? "link cut" : "link cut one way");
        process().cut((directions & 1) != 0, (directions & 2) != 0, random.nextLong(3_000 * MS));
    }
}
