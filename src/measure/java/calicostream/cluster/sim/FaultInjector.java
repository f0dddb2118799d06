// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import calicostream.cluster.raft.Voter;
import calicostream.cluster.raft.VoterNode;
import java.util.List;
import java.util.Optional;

/** Injects the faults of a {@link FaultSchedule} into a simulated cluster. */
final class FaultInjector {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int REORDERING_JITTER_MILLIS = 60;
    private static final int RESTART_DELAY_MILLIS = 50;

    /**
     * No other fault is injected for so long after a silent disk fault: two of them at once, or one
     * and a lost peer, may stay undetected.
     */
    private static final int QUIET_MILLIS = 800;

    private final ClusterSimulation cluster;
    private final SimulatedWorld world;
    private final SimulatedNetwork network;
    private long quietUntilNanos;

    FaultInjector(ClusterSimulation cluster) {
        this.cluster = cluster;
        this.world = cluster.world();
        this.network = cluster.network();
    }

    /** Whether other faults may be injected now. */
    boolean isAllowed() {
        return world.now() >= quietUntilNanos
                && cluster.members().stream().noneMatch(each -> each.logDisk().ignoresSyncs);
    }

    void inject(FaultSchedule.Fault fault) {
        if (world.now() < quietUntilNanos) {
            return;
        }
        FaultSchedule.FaultKind kind = fault.kind();
        boolean isSilentDiskFault = FaultSchedule.SILENT_DISK_FAULTS.contains(kind);
        if (!isSilentDiskFault) {
            cluster.counters().faultInjected(kind);
        }
        world.trace(
                "fault",
                fault.atMillis(),
                kind.ordinal(),
                fault.firstPick(),
                fault.secondPick(),
                fault.durationMillis());
        if (isSilentDiskFault) {
            injectSilentDiskFault(fault, cluster.pickVoter(fault.firstPick()));
        } else if (FaultSchedule.NETWORK_FAULTS.contains(kind)) {
            injectNetworkFault(fault);
        } else {
            injectProcessFault(fault);
        }
    }

    private void injectNetworkFault(FaultSchedule.Fault fault) {
        long untilNanos = world.now() + fault.durationMillis() * NANOS_PER_MILLI;
        int from = cluster.pickMember(fault.firstPick()).number();
        int to = cluster.pickMember(fault.secondPick()).number();
        switch (fault.kind()) {
            case CUT_ONE_WAY -> {
                network.setCut(from, to, true);
                world.schedule(untilNanos, () -> network.setCut(from, to, false));
            }
            case CUT_BOTH -> {
                network.setCutBothWays(from, to, true);
                world.schedule(untilNanos, () -> network.setCutBothWays(from, to, false));
            }
            case ISOLATE -> {
                network.setIsolated(from, true);
                world.schedule(untilNanos, () -> network.setIsolated(from, false));
            }
            case LOSS -> {
                network.setLossRate(0.05 + fault.secondPick() % 40 / 100.0);
                world.schedule(untilNanos, () -> network.setLossRate(0));
            }
            case DUPLICATION -> {
                network.setDuplicationRate(0.3);
                world.schedule(untilNanos, () -> network.setDuplicationRate(0));
            }
            case DELAY -> {
                network.setExtraDelayRate(0.2);
                world.schedule(untilNanos, () -> network.setExtraDelayRate(0));
            }
            case REORDER -> {
                network.setJitterMillis(REORDERING_JITTER_MILLIS);
                world.schedule(untilNanos, network::resetJitter);
            }
            default -> throw new IllegalStateException(fault.toString());
        }
    }

    private void injectProcessFault(FaultSchedule.Fault fault) {
        int durationMillis = fault.durationMillis();
        SimulatedMember member = cluster.pickMember(fault.firstPick());
        SimulatedMember voter = cluster.pickVoter(fault.firstPick());
        switch (fault.kind()) {
            case PAUSE -> pause(member, durationMillis % 300);
            case LONG_PAUSE -> pause(member, durationMillis + 2000);
            case CRASH -> crash(voter, durationMillis);
            case STOP -> stop(voter, durationMillis % 500);
            case CRASH_ALL_VOTERS -> crashAllVoters(durationMillis);
            case DISK_FAILS -> failDisk(voter, durationMillis);
            case DRIFT -> member.process().setDriftPpm(fault.secondPick() % 1001 - 500);
            case LEADERSHIP_TRANSFER -> cluster.voterChanges().transferLeadership(voter);
            case ADD_VOTER -> cluster.voterChanges().addVoter(voter);
            case REMOVE_VOTER -> cluster.voterChanges().removeVoter(voter);
            case CRASH_IN_DISK_CALL -> crashInDiskCall(voter, fault.secondPick());
            case CLOCK_STEP -> member.process().stepClock(durationMillis * NANOS_PER_MILLI);
            case MEMBER_CRASH -> {
                List<SimulatedMember> members = cluster.members();
                crash(members.get(members.size() - 1 - fault.firstPick() % 2), durationMillis);
            }
            default -> throw new IllegalStateException(fault.toString());
        }
    }

    private void pause(SimulatedMember member, int millis) {
        member.process().pausedUntil = world.now() + millis * NANOS_PER_MILLI;
    }

    private static void crash(SimulatedMember member, int restartMillis) {
        if (!member.isDown()) {
            member.crash();
            member.restartAfter(restartMillis);
        }
    }

    private static void stop(SimulatedMember member, int restartMillis) {
        if (member.isDown()) {
            return;
        }
        if (member.voter() != null) {
            member.voter().stop();
        }
        member.crash();
        member.restartAfter(restartMillis);
    }

    private void crashAllVoters(int durationMillis) {
        for (SimulatedMember member : cluster.members()) {
            if (member.runsVoter() && !member.isDown()) {
                member.crash();
                member.restartAfter(durationMillis / 2 + member.number() * 20L);
            }
        }
    }

    private void failDisk(SimulatedMember voter, int durationMillis) {
        if (!voter.runsVoter() || voter.isDown()) {
            return;
        }
        voter.logDisk().isFailing = true;
        world.schedule(
                world.now() + durationMillis * NANOS_PER_MILLI,
                () -> crash(voter, RESTART_DELAY_MILLIS));
    }

    private static void crashInDiskCall(SimulatedMember voter, int pick) {
        if (!voter.runsVoter() || voter.isDown()) {
            return;
        }
        SimulatedDisk disk = pick % 3 == 0 ? voter.markerDisk() : voter.logDisk();
        disk.callsUntilCrash = 1 + pick % 40;
        voter.setCrashesWhileOpening(pick % 4);
    }

    private void injectSilentDiskFault(FaultSchedule.Fault fault, SimulatedMember voter) {
        FaultSchedule.FaultKind kind = fault.kind();
        switch (kind) {
            case BOTH_EMPTY -> emptyBothDisks(voter);
            case LOG_EMPTY -> changeDisks(voter, kind, () -> empty(voter.logDisk()));
            case MARKS_EMPTY -> changeDisks(voter, kind, () -> empty(voter.markerDisk()));
            case FOREIGN_LOG ->
                    changeDisks(
                            voter,
                            kind,
                            () ->
                                    voter.logDisk()
                                            .replaceWith(cluster.leader().orElseThrow().logDisk()));
            case BIT_FLIP -> changeDisks(voter, kind, () -> voter.logDisk().flipBit(world.random));
            case BOTH_OLDER, LOG_OLDER, MARKS_OLDER ->
                    restoreOlderCopyLater(
                            kind, voter, (fault.durationMillis() + 500) * NANOS_PER_MILLI);
            case LOST_SYNC -> loseSyncs(voter);
            default -> throw new IllegalStateException(fault.toString());
        }
    }

    private static void empty(SimulatedDisk disk) {
        disk.replaceWith(new SimulatedDisk(""));
    }

    private void emptyBothDisks(SimulatedMember voter) {
        if (!cluster.isDisabled(Safeguard.VOTER_RECOVERY_HANDSHAKE)) {
            changeDisks(
                    voter,
                    FaultSchedule.FaultKind.BOTH_EMPTY,
                    () -> {
                        empty(voter.logDisk());
                        empty(voter.markerDisk());
                    });
        } else if (voter.runsVoter() && !voter.isDown()) {
            voter.crash();
            voter.replaceDisks();
            voter.restartAfter(5);
        }
    }

    private void loseSyncs(SimulatedMember voter) {
        if (!mayLose(voter)) {
            return;
        }
        voter.logDisk().ignoresSyncs = true;
        world.schedule(
                world.now() + 200 * NANOS_PER_MILLI,
                () -> changeDisks(voter, FaultSchedule.FaultKind.LOST_SYNC, () -> {}));
        world.schedule(
                world.now() + 201 * NANOS_PER_MILLI,
                () -> voter.logDisk().ignoresSyncs = voter.markerDisk().ignoresSyncs);
    }

    /**
     * Whether the cluster can lose this voter while those that remember it respond: with no more
     * than a bare majority left a run would only show that a lost quorum is lost.
     */
    private boolean mayLose(SimulatedMember member) {
        Optional<SimulatedMember> leader = cluster.leader();
        if (leader.isEmpty()
                || leader.get() == member
                || !member.runsVoter()
                || member.isDown()
                || leader.get().voter().voters().size() < 3
                || !leader.get().voter().voters().contains(member.name())) {
            return false;
        }
        return leader.get().voter().voters().stream().allMatch(voter -> isSound(voter, member));
    }

    private boolean isSound(Voter voter, SimulatedMember candidate) {
        SimulatedMember member = cluster.member(voter.member());
        VoterNode node = member.voter();
        return member.name().equals(voter)
                && !member.isDown()
                && !member.logDisk().isFailing
                && !member.hasSilentDiskFault()
                && node != null
                && !node.isStopped()
                && (member == candidate || !member.logDisk().ignoresSyncs);
    }

    /** Crashes a member, changes its disks and restarts it; for a while there is no other fault. */
    private void changeDisks(
            SimulatedMember member, FaultSchedule.FaultKind kind, Runnable change) {
        if (!mayLose(member)) {
            return;
        }
        cluster.counters().faultInjected(kind);
        quietUntilNanos = world.now() + QUIET_MILLIS * NANOS_PER_MILLI;
        endTransientFaults();
        for (SimulatedMember each : cluster.members()) {
            each.logDisk().callsUntilCrash = 0;
            each.markerDisk().callsUntilCrash = 0;
        }
        member.crash();
        change.run();
        member.setSilentDiskFault(true);
        member.restartAfter(RESTART_DELAY_MILLIS);
        world.schedule(quietUntilNanos, () -> member.setSilentDiskFault(false));
    }

    /**
     * Copies the disks now and puts the copy back later. Peers have to remember what was
     * acknowledged in between: either they met a later incarnation, or none of them was restarted.
     */
    private void restoreOlderCopyLater(
            FaultSchedule.FaultKind kind, SimulatedMember member, long delayNanos) {
        if (!mayLose(member)) {
            return;
        }
        SimulatedDisk olderLog = member.logDisk().copy();
        SimulatedDisk olderMarkers = member.markerDisk().copy();
        Voter name = member.name();
        List<Integer> startsThen =
                cluster.members().stream().map(SimulatedMember::sessionsStarted).toList();
        Runnable change =
                () -> {
                    if (kind != FaultSchedule.FaultKind.MARKS_OLDER) {
                        member.logDisk().replaceWith(olderLog);
                    }
                    if (kind != FaultSchedule.FaultKind.LOG_OLDER) {
                        member.markerDisk().replaceWith(olderMarkers);
                    }
                };
        world.schedule(
                world.now() + delayNanos,
                () -> {
                    if (member.name().equals(name) && isRemembered(member, startsThen)) {
                        changeDisks(member, kind, change);
                    }
                });
    }

    private boolean isRemembered(SimulatedMember member, List<Integer> startsThen) {
        List<Integer> starts =
                cluster.members().stream().map(SimulatedMember::sessionsStarted).toList();
        return member.sessionsStarted() > startsThen.get(member.number() - 1)
                || starts.equals(startsThen);
    }

    private void endTransientFaults() {
        network.heal();
        cluster.members().forEach(member -> member.process().pausedUntil = 0);
    }

    /** Ends all faults and restarts what is down. */
    void healAll() {
        endTransientFaults();
        for (SimulatedMember member : cluster.members()) {
            SimulatedDisk log = member.logDisk();
            SimulatedDisk markers = member.markerDisk();
            log.callsUntilCrash = 0;
            markers.callsUntilCrash = 0;
            if (log.isCrashed || markers.isCrashed) {
                member.crash();
            }
            if (log.isFailing && !member.isDown()) {
                member.crash();
            }
            if (member.isDown()) {
                member.start();
            }
        }
    }
}
