// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

/** The error code and the remedy of each type of {@link LeaseRejection}. */
enum LeaseRejectionKind {
    NOT_HOLDER(
            LeaseRejection.NotHolder.CODE,
            "Nothing, if it is rare: the fence held. Often: the holder stops or is cut off; see"
                    + " its pauses and links.",
            LeaseRejection.NotHolder.class),
    ALREADY_HELD(
            LeaseRejection.AlreadyHeld.CODE,
            "Nothing: the process renews under that token.",
            LeaseRejection.AlreadyHeld.class),
    ALREADY_QUEUED(
            LeaseRejection.AlreadyQueued.CODE,
            "Nothing: the process keeps its place.",
            LeaseRejection.AlreadyQueued.class),
    HELD_BY_OTHER(
            LeaseRejection.HeldByOther.CODE,
            "Nothing: another process does the task.",
            LeaseRejection.HeldByOther.class),
    QUEUE_FULL(
            LeaseRejection.QueueFull.CODE,
            "See whether processes start again and again: each takes a new session and a new"
                    + " place.",
            LeaseRejection.QueueFull.class),
    TOO_MANY_LEASES(
            LeaseRejection.TooManyLeases.CODE,
            "See the names in the figures; a task makes a lease for each of something that is"
                    + " unbounded.",
            LeaseRejection.TooManyLeases.class),
    INVALID_TERMS(
            LeaseRejection.InvalidTerms.CODE,
            "Correct the lease's name or time to live in the settings.",
            LeaseRejection.InvalidTerms.class),
    RENEWED_CONCURRENTLY(
            LeaseRejection.RenewedConcurrently.CODE,
            "Nothing: the renewal came before the end, as it should.",
            LeaseRejection.RenewedConcurrently.class),
    NO_SUCCESSOR(
            LeaseRejection.NoSuccessor.CODE,
            "Nothing: the holder releases instead, and the next to ask gets it.",
            LeaseRejection.NoSuccessor.class),
    SESSION_ENDED(
            LeaseRejection.SessionEnded.CODE,
            "See why the holder was not heard for a session's time: stopped, cut off, or its"
                    + " clock ran fast.",
            LeaseRejection.SessionEnded.class),
    SENDER_NOT_PERMITTED(
            LeaseRejection.SenderNotPermitted.CODE,
            "Report it: a process sends what only a leader or only a member may.",
            LeaseRejection.SenderNotPermitted.class),
    TOKEN_OUTDATED(
            LeaseRejection.TokenOutdated.CODE,
            "Nothing: the fence held. Find out why the former holder stopped between its check"
                    + " and its act.",
            LeaseRejection.TokenOutdated.class),
    NOT_HELD_LOCALLY(
            LeaseRejection.NotHeldLocally.CODE,
            "See why it could not renew: no quorum, a cut link, or a pause of this process.",
            LeaseRejection.NotHeldLocally.class);

    private final String code;
    private final String remedy;
    private final Class<? extends LeaseRejection> type;

    LeaseRejectionKind(String code, String remedy, Class<? extends LeaseRejection> type) {
        this.code = code;
        this.remedy = remedy;
        this.type = type;
    }

    String code() {
        return code;
    }

    String remedy() {
        return remedy;
    }

    Class<? extends LeaseRejection> type() {
        return type;
    }

    /**
     * @throws IllegalStateException if the rejection's type has no constant here
     */
    static LeaseRejectionKind of(LeaseRejection rejection) {
        for (LeaseRejectionKind kind : values()) {
            if (kind.type == rejection.getClass()) {
                return kind;
            }
        }
        throw new IllegalStateException(rejection + " has no code");
    }
}
