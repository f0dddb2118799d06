// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Which lines of the log a change of the signs is worth; pure. */
final class StatusChangeLogger {
    /**
     * @param warn whether somebody may have to do something
     */
    record Line(boolean warn, String text) {}

    private StatusChangeLogger() {}

    /**
     * @param before null at the start
     */
    static List<Line> of(MemberStatus before, MemberStatus now) {
        List<Line> out = new ArrayList<>();
        if (before == null || before.state() != now.state()) {
            boolean bad =
                    switch (now.state()) {
                        case BARRED, BEHIND, REMOVED, FAILED -> true;
                        case DOWN -> !now.reason().isEmpty();
                        case ASKING, SPARE, LEARNER, VOTER, STOPPING -> false;
                    };
            out.add(
                    new Line(
                            bad,
                            now.self()
                                    + " is "
                                    + now.state().name().toLowerCase(Locale.ROOT)
                                    + (now.reason().isEmpty() ? "" : ": " + now.reason())));
        }
        if (before == null || now.state() == MemberStatus.State.DOWN) {
            return out;
        }
        if (before.leader() != now.leader() || before.term() != now.term() && now.leader() != 0) {
            out.add(
                    new Line(
                            false,
                            now.leader() == 0
                                    ? "no leader is known, term " + now.term()
                                    : "member " + now.leader() + " leads, term " + now.term()));
        }
        if (before.quorumMissingMillis() == 0 && now.quorumMissingMillis() > 0) {
            out.add(
                    new Line(
                            true,
                            "no quorum was heard for "
                                    + now.quorumMissingMillis()
                                    + " ms: changes wait, the front end serves on"));
        } else if (before.quorumMissingMillis() > 0 && now.quorumMissingMillis() == 0) {
            out.add(new Line(false, "a quorum is heard again"));
        }
        if (before.session() != now.session()) {
            boolean lost = now.session() == 0 && now.state() != MemberStatus.State.STOPPING;
            out.add(
                    new Line(
                            lost,
                            now.session() == 0
                                    ? "session " + before.session() + " is over"
                                    : "session " + now.session() + " is open"));
        }
        if (!before.voters().equals(now.voters()) || !before.learners().equals(now.learners())) {
            out.add(new Line(false, "voters " + now.voters() + ", learners " + now.learners()));
        }
        if (before.disk().state() != now.disk().state()) {
            out.add(
                    new Line(
                            now.disk().fault() != null,
                            "disk is "
                                    + now.disk().state().name().toLowerCase(Locale.ROOT)
                                    + (now.disk().fault() == null
                                            ? ""
                                            : ": " + now.disk().fault().getMessage())));
        }
        if (!before.commandProgress().equals(now.commandProgress())
                && !now.commandProgress().isEmpty()) {
            out.add(new Line(false, "operators: " + now.commandProgress()));
        }
        return out;
    }
}
