// SPDX-License-Identifier: Apache-2.0
package calicostream.daemon;

import calicostream.cluster.Machine;
import calicostream.cluster.Timekeeper;
import calicostream.cluster.process.Layer;
import calicostream.lease.LeaderWatch;
import calicostream.lease.LeaseMachine;
import java.util.Optional;

/** Leases as a layer of a member. */
final class LeaseLayer implements Layer {
    private final LeaseMachine machine = new LeaseMachine();
    private final LeaderWatch watch = new LeaderWatch(machine);

    @Override
    public String name() {
        return "lease";
    }

    @Override
    public Machine machine() {
        return machine;
    }

    @Override
    public Optional<Timekeeper> timekeeper() {
        return Optional.of(watch);
    }
}
