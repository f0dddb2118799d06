// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.ReplicatedState;
import calicostream.cluster.raft.Voter;
import calicostream.cluster.raft.VoterNode;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The checks of a simulated cluster, after every event and at the end. A violation ends the run
 * with an {@link InvariantViolation}.
 */
final class ClusterInvariants {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Without {@link Safeguard#EARLY_SESSION_END} a member relies on its session for longer. */
    private static final long LATE_SESSION_END_NANOS = 200 * NANOS_PER_MILLI;

    private final ClusterSimulation cluster;
    private final HistoryChecker history;
    private final Map<Integer, Voter> leadersByTerm = new HashMap<>();
    private final Map<Long, String> appliedCalls = new HashMap<>();
    private final Set<Long> expiredSessions = new HashSet<>();
    private InvariantViolation reported;

    ClusterInvariants(ClusterSimulation cluster, HistoryChecker history) {
        this.cluster = cluster;
        this.history = history;
    }

    int terms() {
        return leadersByTerm.size();
    }

    int expiredSessions() {
        return expiredSessions.size();
    }

    /**
     * Records a violation that the next check throws: the consensus library and the voter catch
     * what is thrown inside of them. The first one counts.
     */
    void report(String violation) {
        if (reported == null) {
            reported = new InvariantViolation(violation);
        }
    }

    /** Checks that every copy applies the same call at the same index. */
    void applied(int member, long index, String call) {
        String other = appliedCalls.putIfAbsent(index, call);
        if (other != null && !other.equals(call)) {
            reported =
                    new InvariantViolation(
                            "member "
                                    + member
                                    + " applied "
                                    + call
                                    + " at "
                                    + index
                                    + ", another "
                                    + other);
        }
        cluster.world().trace(call, member, index);
    }

    /** Checks a process after one of its events. */
    void checkAfterEvent(SimulatedWorld.SimulatedProcess process) {
        if (reported != null) {
            throw reported;
        }
        InvariantViolation.throwUnlessEmpty(cluster.extension().violation());
        SimulatedMember member = cluster.member(process.member);
        checkQueueOfMember(member);
        VoterNode voter = member.voter();
        if (voter == null) {
            return;
        }
        if (voter.pendingProposals() > SimulatedMember.MAX_QUEUED_PROPOSALS) {
            throw new InvariantViolation("a voter's queue grew to " + voter.pendingProposals());
        }
        checkOneLeaderPerTerm(member, voter);
        handleStateChanges(member, voter);
    }

    private static void checkQueueOfMember(SimulatedMember member) {
        if (member.session() == null) {
            return;
        }
        int pending = member.session().pendingCommands();
        if (pending > SimulatedMember.MAX_QUEUED_COMMANDS + 1) {
            throw new InvariantViolation("a member's queue grew to " + pending);
        }
    }

    private void checkOneLeaderPerTerm(SimulatedMember member, VoterNode voter) {
        if (voter.leader() != member.number() || voter.isStopped()) {
            return;
        }
        Voter other = leadersByTerm.putIfAbsent(voter.term(), member.name());
        if (other != null && !other.equals(member.name())) {
            throw new InvariantViolation(
                    "term " + voter.term() + " is led by " + other + " and " + member.name());
        }
    }

    private void handleStateChanges(SimulatedMember member, VoterNode voter) {
        List<ReplicatedState.StateChange> changes = voter.state().drainStateChanges();
        if (cluster.extension().isNotifiedByLeader()) {
            member.publish(changes);
        }
        for (ReplicatedState.StateChange change : changes) {
            cluster.extension().stateChanged(member.number(), change);
            if (change.event().kind().equals("session-expired")) {
                long session = new BinaryCodec.Reader("session", change.event().body()).i64();
                if (expiredSessions.add(session)) {
                    checkNobodyReliesOn(session);
                }
            }
        }
    }

    private void checkNobodyReliesOn(long session) {
        long lateNanos =
                cluster.isDisabled(Safeguard.EARLY_SESSION_END) ? LATE_SESSION_END_NANOS : 0;
        for (SimulatedMember member : cluster.members()) {
            if (member.session() != null
                    && member.session().sessionId() == session
                    && member.session().isAlive(member.process().nanoTime() - lateNanos)) {
                throw new InvariantViolation(
                        "session "
                                + session
                                + " expired while member "
                                + member.number()
                                + " relied on it");
            }
        }
    }

    /** Checks the whole cluster once all faults have ended. */
    void checkAtEnd() {
        InvariantViolation.throwUnlessEmpty(cluster.extension().finalViolation());
        SimulatedMember leader =
                cluster.leader()
                        .orElseThrow(
                                () ->
                                        new InvariantViolation(
                                                "no leader after "
                                                        + cluster.world().now() / NANOS_PER_MILLI
                                                        + " ms"));
        for (SimulatedMember member : cluster.members()) {
            if (cluster.isSettled(member)) {
                continue;
            }
            throw new InvariantViolation(
                    "member " + member.number() + " still waits: " + member.session());
        }
        cluster.members().stream()
                .filter(member -> member.voter() != null)
                .filter(member -> leader.voter().voters().contains(member.name()))
                .forEach(member -> checkEqualCopies(member, leader));
        checkHistory(leader);
    }

    private static void checkEqualCopies(SimulatedMember member, SimulatedMember leader) {
        ReplicatedState copy = member.voter().state();
        ReplicatedState original = leader.voter().state();
        if (copy.appliedIndex() == original.appliedIndex()
                && !Arrays.equals(copy.snapshot(), original.snapshot())) {
            throw new InvariantViolation(
                    "copies at " + member.name() + " and " + leader.name() + " differ");
        }
    }

    private void checkHistory(SimulatedMember leader) {
        for (int key = 0; key < AppendOnlyLists.KEYS; key++) {
            List<String> violations = history.violations(key, leader.lists().list(key));
            if (!violations.isEmpty()) {
                throw new InvariantViolation(
                        violations.size()
                                + " violations in the history, first: "
                                + violations.get(0));
            }
        }
    }
}
