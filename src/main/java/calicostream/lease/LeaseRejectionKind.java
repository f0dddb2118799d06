// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

/** The error code and the remedy of each type of {@link LeaseRejection}. */
enum LeaseRejectionKind {
    NOT_HOLDER(
            LeaseRejection.NotHolder.CODE,
            "None if rare: a former holder was rejected as intended. If frequent, check the holder"
                    + " process for long pauses and its network links for failures.",
            LeaseRejection.NotHolder.class),
    ALREADY_HELD(
            LeaseRejection.AlreadyHeld.CODE,
            "None: the process renews its grant under that token.",
            LeaseRejection.AlreadyHeld.class),
    ALREADY_QUEUED(
            LeaseRejection.AlreadyQueued.CODE,
            "None: the process keeps its position in the queue.",
            LeaseRejection.AlreadyQueued.class),
    HELD_BY_OTHER(
            LeaseRejection.HeldByOther.CODE,
            "None: another process executes the task.",
            LeaseRejection.HeldByOther.class),
    QUEUE_FULL(
            LeaseRejection.QueueFull.CODE,
            "Check whether processes restart repeatedly: each restart opens a new session and takes"
                    + " a new queue position.",
            LeaseRejection.QueueFull.class),
    TOO_MANY_LEASES(
            LeaseRejection.TooManyLeases.CODE,
            "Check the names of the leases in the metrics for a task that creates an unbounded"
                    + " number of leases.",
            LeaseRejection.TooManyLeases.class),
    INVALID_TERMS(
            LeaseRejection.InvalidTerms.CODE,
            "Correct the lease's name or time to live in the settings.",
            LeaseRejection.InvalidTerms.class),
    RENEWED_CONCURRENTLY(
            LeaseRejection.RenewedConcurrently.CODE,
            "None: the lease was renewed before its expiry was applied.",
            LeaseRejection.RenewedConcurrently.class),
    NO_SUCCESSOR(
            LeaseRejection.NoSuccessor.CODE,
            "None: the holder releases the lease instead, and it is granted to the next session"
                    + " that requests it.",
            LeaseRejection.NoSuccessor.class),
    SESSION_ENDED(
            LeaseRejection.SessionEnded.CODE,
            "Find out why the holder did not renew its session in time: it was stopped or paused, a"
                    + " link failed, or its clock ran fast.",
            LeaseRejection.SessionEnded.class),
    SENDER_NOT_PERMITTED(
            LeaseRejection.SenderNotPermitted.CODE,
            "Report a bug: a process sent a command that only the leader, or only a member, may"
                    + " send.",
            LeaseRejection.SenderNotPermitted.class),
    TOKEN_OUTDATED(
            LeaseRejection.TokenOutdated.CODE,
            "None: the resource rejected an outdated token as intended. Find out why the former"
                    + " holder was paused between its check and its action.",
            LeaseRejection.TokenOutdated.class),
    NOT_HELD_LOCALLY(
            LeaseRejection.NotHeldLocally.CODE,
            "Find out why the process could not renew the lease: no quorum, a failed link, or a"
                    + " pause of this process.",
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
        throw new IllegalStateException(rejection + " has no rejection kind");
    }
}
