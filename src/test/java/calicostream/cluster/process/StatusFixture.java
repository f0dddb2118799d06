// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.raft.Voter;
import calicostream.cluster.tcp.TcpTransport;
import calicostream.durable.DurableException;
import calicostream.durable.LogStatus;
import java.util.List;
import java.util.Map;

/** Statuses of member 1 for tests. */
final class StatusFixture {
    static final Voter ONE = new Voter(1, 0);
    static final Voter TWO = new Voter(2, 0);
    static final Voter THREE = new Voter(3, 0);
    static final Voter FOUR = new Voter(4, 0);
    static final List<Voter> VOTERS = List.of(ONE, TWO, THREE);
    static final long NANOS_PER_MILLI = 1_000_000;

    /** Member 1 leads three voters. */
    static final MemberStatus LEADS =
            status(
                    MemberStatus.State.VOTER,
                    leadership(true, 1, 0),
                    VOTERS,
                    5,
                    LogStatus.State.READY);

    private StatusFixture() {}

    static MemberStatus.Leadership leadership(
            boolean isSelf, int leader, long quorumMissingMillis) {
        return new MemberStatus.Leadership(leader, isSelf, 7, 40, quorumMissingMillis);
    }

    static MemberStatus status(
            MemberStatus.State state,
            MemberStatus.Leadership leadership,
            List<Voter> voters,
            long session,
            LogStatus.State disk) {
        DurableException fault =
                disk == LogStatus.State.READY ? null : new DurableException.DiskFull("here", null);
        String reason = state == MemberStatus.State.FAILED ? "because" : "";
        return new MemberStatus(
                ONE,
                new MemberStatus.Condition(state, reason),
                leadership,
                new MemberStatus.Replica(50, new Membership(voters, List.of()), 1, 0),
                new MemberStatus.Session(session, session != 0, 0, 0),
                new MemberStatus.Resources(
                        new LogStatus(disk, 0, fault, 1, false, 0, 0, 0, 0, 0),
                        0,
                        new TcpTransport.Metrics(0, 0, 0, 0, 0)),
                "",
                Map.of());
    }
}
