// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import static calicostream.cluster.process.StatusFixture.LEADS;
import static calicostream.cluster.process.StatusFixture.ONE;
import static calicostream.cluster.process.StatusFixture.TWO;
import static calicostream.cluster.process.StatusFixture.VOTERS;
import static calicostream.cluster.process.StatusFixture.leadership;
import static calicostream.cluster.process.StatusFixture.status;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.ClusterException;
import calicostream.cluster.raft.Voter;
import calicostream.durable.LogStatus;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parsing and checking of commands. */
class MembershipCommandTest {
    @ParameterizedTest
    @CsvSource({
        "voters/4.0/add,1.0 2.0 3.0 4.0",
        "voters/2.0/remove,1.0 3.0",
        "voters/2.0/replace/2.1,1.0 2.1 3.0",
        "voters/1.0/replace/4.0,2.0 3.0 4.0"
    })
    void commandNamesTheWantedVoters(String text, String wanted) {
        MembershipCommand.ChangeVoters command =
                (MembershipCommand.ChangeVoters) MembershipCommand.parse(text, LEADS).orElseThrow();
        assertEquals(
                wanted,
                String.join(" ", command.wantedVoters().stream().map(Voter::toString).toList()));
    }

    @Test
    void commandThatCannotBeCarriedOutIsRejectedAtOnce() {
        assertEquals(
                new MembershipCommand.TransferLeadership("lead/2.0", TWO),
                MembershipCommand.parse("lead/2.0", LEADS).orElseThrow());
        for (String none :
                List.of(
                        "",
                        "lead",
                        "lead/2",
                        "voters/2/add",
                        "voters/2.0",
                        "voters/2.0/adds",
                        "voters/99999999.0/add")) {
            assertTrue(MembershipCommand.parse(none, LEADS).isEmpty(), none);
        }
        for (String bad :
                List.of(
                        "voters/2.0/add",
                        "voters/2.1/add",
                        "voters/4.0/remove",
                        "voters/4.0/replace/5.0",
                        "voters/2.0/replace/2.0",
                        "voters/2.0/replace/3.0",
                        "lead/4.0",
                        "lead/1.0")) {
            assertThrows(
                    ClusterException.InvalidVoterChange.class,
                    () -> MembershipCommand.parse(bad, LEADS),
                    bad);
        }
        MemberStatus two =
                status(
                        MemberStatus.State.VOTER,
                        leadership(true, 1, 0),
                        List.of(ONE),
                        5,
                        LogStatus.State.READY);
        assertThrows(
                ClusterException.InvalidVoterChange.class,
                () -> MembershipCommand.parse("voters/1.0/remove", two));
        MemberStatus follows =
                status(
                        MemberStatus.State.VOTER,
                        leadership(false, 2, 0),
                        VOTERS,
                        5,
                        LogStatus.State.READY);
        assertEquals(
                2,
                assertThrows(
                                ClusterException.NotLeader.class,
                                () -> MembershipCommand.parse("voters/4.0/add", follows))
                        .leader());
        assertTrue(MembershipCommand.parse("nonsense", follows).isEmpty());
    }
}
