// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import static calicostream.cluster.process.StatusFixture.LEADS;
import static calicostream.cluster.process.StatusFixture.ONE;
import static calicostream.cluster.process.StatusFixture.TWO;
import static calicostream.cluster.process.StatusFixture.VOTERS;
import static calicostream.cluster.process.StatusFixture.leadership;
import static calicostream.cluster.process.StatusFixture.status;
import static org.junit.jupiter.api.Assertions.assertEquals;

import calicostream.cluster.process.StatusChangeLogger.Line;
import calicostream.durable.DurableException;
import calicostream.durable.LogStatus;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The log lines of a change of status. */
class StatusChangeLoggerTest {
    @Test
    void eachChangeIsLoggedOnce() {
        assertEquals(List.of(), StatusChangeLogger.lines(LEADS, LEADS));
        assertEquals(
                List.of(Line.info("member {} is {}", ONE, "voter")),
                StatusChangeLogger.lines(null, LEADS));
        MemberStatus isolated =
                status(
                        MemberStatus.State.VOTER,
                        leadership(false, 0, 900),
                        List.of(ONE, TWO),
                        0,
                        LogStatus.State.FULL);
        assertEquals(
                List.of(
                        Line.info("no leader known, term {}", 7),
                        Line.warning(
                                "no quorum for {} ms: changes of the replicated state wait,"
                                        + " requests are served",
                                900L),
                        Line.warning("session {} ended", 5L),
                        Line.info("voters {}, learners {}", List.of(ONE, TWO), List.of()),
                        Line.warning(
                                "disk is {}: {}",
                                "full",
                                new DurableException.DiskFull("here", null).getMessage())),
                StatusChangeLogger.lines(LEADS, isolated));
        assertEquals(
                List.of(
                        Line.info("leader is member {}, term {}", 1, 7),
                        Line.info("quorum available again"),
                        Line.info("session {} opened", 5L),
                        Line.info("voters {}, learners {}", VOTERS, List.of()),
                        Line.info("disk is {}", "ready")),
                StatusChangeLogger.lines(isolated, LEADS));
    }

    @Test
    void failuresAreWarnings() {
        MemberStatus failed =
                status(
                        MemberStatus.State.FAILED,
                        leadership(true, 1, 0),
                        VOTERS,
                        5,
                        LogStatus.State.READY);
        assertEquals(
                List.of(Line.warning("member {} is {}: {}", ONE, "failed", "because")),
                StatusChangeLogger.lines(LEADS, failed));
        assertEquals(
                List.of(Line.info("member {} is {}", ONE, "down")),
                StatusChangeLogger.lines(LEADS, LEADS.down("")));
        assertEquals(
                List.of(Line.warning("member {} is {}: {}", ONE, "down", "broken")),
                StatusChangeLogger.lines(LEADS, LEADS.down("broken")));
    }
}
