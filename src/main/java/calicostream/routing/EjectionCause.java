// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Cause of an ejection, and whether it proves a failure or is only a suspicion. */
enum EjectionCause {
    CONNECT_FAILED("CONNECT_FAILED", true),
    RESET("RESET", true),
    CONNECTION_BROKEN("CONNECTION_BROKEN", false),
    TIMEOUT("TIMEOUT", false),
    ERROR("ERROR", false),
    SILENCE("silent", false),
    /** A probe by another gateway failed; it can only prolong an existing ejection. */
    PEER_PROBE_FAILED("CANCELLED", true);

    private final String logText;
    private final boolean certain;

    EjectionCause(String logText, boolean certain) {
        this.logText = logText;
        this.certain = certain;
    }

    /** Returns the text of the cause in the operators' log. */
    String logText() {
        return logText;
    }

    /** Returns whether the engine is ejected regardless of how many others are ejected. */
    boolean isCertain() {
        return certain;
    }
}
