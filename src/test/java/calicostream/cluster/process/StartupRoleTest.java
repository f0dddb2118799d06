// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import static calicostream.cluster.process.StatusFixture.FOUR;
import static calicostream.cluster.process.StatusFixture.ONE;
import static calicostream.cluster.process.StatusFixture.TWO;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import calicostream.cluster.raft.Voter;
import calicostream.durable.StateLossDetector;
import calicostream.durable.StateLossDetector.StateLoss;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** The role by the settings and by what the folder holds. */
class StartupRoleTest {
    private static StateLossDetector.LocalState disk(
            StateLossDetector.VotingStatus votingStatus, long lastIndex, StateLoss loss) {
        return new StateLossDetector.LocalState(
                3, lastIndex, "", lastIndex, votingStatus, loss, "the facts");
    }

    @Test
    void roleFollowsFromSettingsAndFolder() {
        StateLossDetector.LocalState blank =
                disk(StateLossDetector.VotingStatus.NEW, 0, StateLoss.NONE);
        Voter next = new Voter(1, 1);
        assertEquals(
                StartupRole.Role.FOUNDER,
                StartupRole.of(true, ONE, Optional.empty(), blank).role());
        assertEquals(
                StartupRole.Role.JOINER,
                StartupRole.of(true, next, Optional.empty(), blank).role());
        assertEquals(
                StartupRole.Role.JOINER,
                StartupRole.of(false, FOUR, Optional.empty(), blank).role());
        assertEquals(
                StartupRole.Role.RETURNING,
                StartupRole.of(
                                true,
                                ONE,
                                Optional.of(ONE),
                                disk(StateLossDetector.VotingStatus.ADMITTED, 9, StateLoss.NONE))
                        .role());
        assertEquals(
                StartupRole.Role.BARRED,
                StartupRole.of(
                                true,
                                ONE,
                                Optional.empty(),
                                disk(StateLossDetector.VotingStatus.NEW, 9, StateLoss.NONE))
                        .role());
        for (StateLoss loss : StateLoss.values()) {
            StartupRole role =
                    StartupRole.of(
                            true,
                            ONE,
                            Optional.of(ONE),
                            disk(StateLossDetector.VotingStatus.ADMITTED, 9, loss));
            assertEquals(loss == StateLoss.NONE, role.runsVoter());
        }
        StartupRole barred =
                StartupRole.of(
                        true,
                        ONE,
                        Optional.of(ONE),
                        disk(StateLossDetector.VotingStatus.SUSPENDED, 9, StateLoss.NONE));
        assertFalse(barred.runsVoter());
        assertEquals("the facts", barred.reason());
        assertEquals(
                "member-folder-of-another",
                assertThrows(
                                MemberException.class,
                                () -> StartupRole.of(true, ONE, Optional.of(TWO), blank))
                        .code());
    }
}
