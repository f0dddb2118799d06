// SPDX-License-Identifier: Apache-2.0
package calicostream.adapter;

import calicostream.routing.AttemptOutcome;
import java.util.Map;
import java.util.Set;

/** Record codes of the wire; events and actions are numbered apart. */
final class RecordCodes {
    static final int UP = 1000;
    static final int BACKENDS_CHANGED = 1010;
    static final int QUERY = 1020;
    static final int ESTABLISHED = 1030;
    static final int RESULT = 1040;
    static final int DROPPED = 1050;
    static final int ALARM = 1060;
    static final int CHECKED = 1070;
    static final int INBOX = 1080;
    static final int DOWN = 1090;
    static final int NOTICE = 1100;
    static final int MANIFEST = 1110;
    static final Set<Integer> EVENTS =
            Set.of(
                    UP,
                    BACKENDS_CHANGED,
                    QUERY,
                    ESTABLISHED,
                    RESULT,
                    DROPPED,
                    ALARM,
                    CHECKED,
                    INBOX,
                    DOWN,
                    NOTICE);

    static final int DELIVER = 1000;
    static final int DECLINE = 1010;
    static final int FINISH_ERROR = 1020;
    static final int UNDO_SEND = 1030;
    static final int SCHEDULE = 1040;
    static final int POLL = 1050;
    static final int TRACE = 1080;
    static final int CRASH = 1090;
    static final int OBSERVE = 1100;
    static final int ALLOT = 1120;

    static final Map<Integer, AttemptOutcome> OUTCOMES =
            Map.of(
                    10,
                    AttemptOutcome.OK,
                    20,
                    AttemptOutcome.ERROR,
                    30,
                    AttemptOutcome.OVERLOADED,
                    40,
                    AttemptOutcome.TIMEOUT,
                    50,
                    AttemptOutcome.CONNECT_FAILED,
                    60,
                    AttemptOutcome.RESET,
                    70,
                    AttemptOutcome.CANCELLED,
                    80,
                    AttemptOutcome.NOT_STARTED);

    private RecordCodes() {}
}
