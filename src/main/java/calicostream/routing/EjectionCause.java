// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Says why an engine is ejected, and whether that is certain or a suspicion. */
enum EjectionCause {
    CONNECT_FAILED("CONNECT_FAILED", true),
    RESET("RESET", true),
    CONNECTION_BROKEN("CONNECTION_BROKEN", false),
    TIMEOUT("TIMEOUT", false),
    ERROR("ERROR", false),
    SILENCE("silent", false),
    /** Another gateway's probe of the engine failed; it only prolongs an ejection. */
    PEER_PROBE_FAILED("CANCELLED", true);

    private final String logText;
    private final boolean certain;

    EjectionCause(String logText, boolean certain) {
        this.logText = logText;
        this.certain = certain;
    }

    /** Returns the cause as the operators' log names it. */
    String logText() {
        return logText;
    }

    /** Returns whether the engine is ejected however many others are. */
    boolean isCertain() {
        return certain;
    }
}
