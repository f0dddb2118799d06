// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.ReplicatedState;
import calicostream.cluster.config.ClusterConfig;
import calicostream.cluster.raft.Voter;
import calicostream.cluster.tcp.TcpTransport;
import calicostream.durable.DurableLog;
import calicostream.durable.LogStatus;

/** Collects the status of a member from its parts; changes nothing. The member's thread. */
final class MemberStatusCollector {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The parts of the member that the status tells of. */
    record Parts(
            ClusterConfig config,
            Voter self,
            DurableLog log,
            TcpTransport transport,
            ReplicatedState state,
            LocalVoter voter,
            ServiceGroup services) {}

    private final Parts parts;
    private final SessionMonitor session;
    private final QuorumMonitor quorum;

    MemberStatusCollector(Parts parts, SessionMonitor session, QuorumMonitor quorum) {
        this.parts = parts;
        this.session = session;
        this.quorum = quorum;
    }

    MemberStatus collect(long nowNanos, boolean isStopping, String commandProgress) {
        LogStatus disk = parts.log.status();
        LocalVoter voter = parts.voter;
        Membership membership = voter.membership();
        MemberStatus.Condition condition =
                MemberStateEvaluator.evaluate(
                        isStopping,
                        parts.self,
                        new MemberStateEvaluator.VoterView(
                                voter.failure(), voter.barredReason(), voter.phase(), membership),
                        leaderContact(nowNanos));
        return new MemberStatus(
                parts.self,
                condition,
                leadership(condition.isFollowing(), nowNanos),
                new MemberStatus.Replica(
                        parts.state.appliedIndex(),
                        membership,
                        voter.stateAgeNanos().map(age -> age / NANOS_PER_MILLI).orElse(-1L),
                        voter.pendingProposals()),
                session.status(nowNanos),
                new MemberStatus.Resources(
                        disk,
                        (nowNanos - disk.sinceNanos()) / NANOS_PER_MILLI,
                        parts.transport.metrics()),
                commandProgress,
                parts.services.metrics());
    }

    private MemberStateEvaluator.LeaderContact leaderContact(long nowNanos) {
        return new MemberStateEvaluator.LeaderContact(
                parts.voter.leader(),
                session.isAlive(nowNanos),
                parts.voter.stateAgeNanos().orElse(0L),
                MemberStateEvaluator.silenceLimitNanos(parts.config));
    }

    private MemberStatus.Leadership leadership(boolean isFollowing, long nowNanos) {
        LocalVoter voter = parts.voter;
        long limitNanos =
                isFollowing
                        ? MemberStateEvaluator.electionLimitNanos(parts.config)
                        : MemberStateEvaluator.silenceLimitNanos(parts.config);
        return new MemberStatus.Leadership(
                isFollowing ? voter.leader() : session.leader(nowNanos),
                voter.isLeader(),
                voter.term(),
                parts.state.epoch(),
                quorum.missingMillis(nowNanos, limitNanos));
    }
}
