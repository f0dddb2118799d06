// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs the changes between two statuses of a member that operators should know. One thread. */
final class StatusChangeLogger {
    private static final Logger LOG = LoggerFactory.getLogger(Member.class);

    /**
     * A line of the log.
     *
     * @param isWarning whether somebody may have to act
     * @param message with a placeholder for each argument
     */
    record Line(boolean isWarning, String message, List<Object> arguments) {
        static Line info(String message, Object... arguments) {
            return new Line(false, message, List.of(arguments));
        }

        static Line warning(String message, Object... arguments) {
            return new Line(true, message, List.of(arguments));
        }
    }

    private final String cluster;

    StatusChangeLogger(String cluster) {
        this.cluster = cluster;
    }

    /**
     * Logs each change.
     *
     * @param before null at the start
     */
    void log(MemberStatus before, MemberStatus now) {
        for (Line line : lines(before, now)) {
            List<Object> arguments = new ArrayList<>(List.of(cluster));
            arguments.addAll(line.arguments);
            String message = "cluster {}: " + line.message;
            if (line.isWarning) {
                LOG.warn(message, arguments.toArray());
            } else {
                LOG.info(message, arguments.toArray());
            }
        }
    }

    /** The lines for the changes between two statuses, in their order; pure. */
    static List<Line> lines(MemberStatus before, MemberStatus now) {
        List<Line> lines = new ArrayList<>();
        if (before == null || before.state() != now.state()) {
            lines.add(stateLine(now));
        }
        if (before == null || now.state() == MemberStatus.State.DOWN) {
            return lines;
        }
        addLeaderChange(lines, before.leadership(), now.leadership());
        addQuorumChange(lines, before.leadership(), now.leadership());
        addSessionChange(lines, before, now);
        Membership membership = now.replica().membership();
        if (!before.replica().membership().equals(membership)) {
            lines.add(
                    Line.info(
                            "voters {}, learners {}", membership.voters(), membership.learners()));
        }
        addDiskChange(lines, before.resources(), now.resources());
        String progress = now.commandProgress();
        if (!before.commandProgress().equals(progress) && !progress.isEmpty()) {
            lines.add(Line.info("operator command {}", progress));
        }
        return lines;
    }

    private static Line stateLine(MemberStatus now) {
        String reason = now.condition().reason();
        boolean isWarning =
                switch (now.state()) {
                    case BARRED, BEHIND, REMOVED, FAILED -> true;
                    case DOWN -> !reason.isEmpty();
                    case RECOVERING, SPARE, LEARNER, VOTER, STOPPING -> false;
                };
        String state = now.state().jsonName();
        return reason.isEmpty()
                ? new Line(isWarning, "member {} is {}", List.of(now.self(), state))
                : new Line(isWarning, "member {} is {}: {}", List.of(now.self(), state, reason));
    }

    private static void addLeaderChange(
            List<Line> lines, MemberStatus.Leadership before, MemberStatus.Leadership now) {
        boolean isOtherTerm = before.term() != now.term() && now.leader() != 0;
        if (before.leader() == now.leader() && !isOtherTerm) {
            return;
        }
        lines.add(
                now.leader() == 0
                        ? Line.info("no leader known, term {}", now.term())
                        : Line.info("leader is member {}, term {}", now.leader(), now.term()));
    }

    private static void addQuorumChange(
            List<Line> lines, MemberStatus.Leadership before, MemberStatus.Leadership now) {
        boolean wasMissing = before.quorumMissingMillis() > 0;
        boolean isMissing = now.quorumMissingMillis() > 0;
        if (!wasMissing && isMissing) {
            lines.add(
                    Line.warning(
                            "no quorum for {} ms: changes of the replicated state wait, requests"
                                    + " are served",
                            now.quorumMissingMillis()));
        } else if (wasMissing && !isMissing) {
            lines.add(Line.info("quorum available again"));
        }
    }

    private static void addSessionChange(List<Line> lines, MemberStatus before, MemberStatus now) {
        long oldSession = before.session().id();
        long session = now.session().id();
        if (oldSession == session) {
            return;
        }
        if (session != 0) {
            lines.add(Line.info("session {} opened", session));
        } else {
            boolean isLost = now.state() != MemberStatus.State.STOPPING;
            lines.add(new Line(isLost, "session {} ended", List.of(oldSession)));
        }
    }

    private static void addDiskChange(
            List<Line> lines, MemberStatus.Resources before, MemberStatus.Resources now) {
        if (before.disk().state() == now.disk().state()) {
            return;
        }
        String state = now.disk().state().name().toLowerCase(Locale.ROOT);
        lines.add(
                now.disk().fault() == null
                        ? Line.info("disk is {}", state)
                        : Line.warning("disk is {}: {}", state, now.disk().fault().getMessage()));
    }
}
