// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.CommandEffects;
import calicostream.errors.ErrorDetails;
import calicostream.errors.OperationalError;
import calicostream.errors.OperatorDocumentation;

/**
 * Why {@link LeaseStateMachine}, {@link FencedActions} or a {@link FencedResource} rejected a
 * command or an action. Immutable; a value that is returned and never thrown.
 */
@OperatorDocumentation(value = "lease.md", prefixes = "lease-")
public sealed interface LeaseRejection extends OperationalError {
    /** The lease's name. */
    String name();

    /** Writes all fields except the name, in the order of the record's components. */
    void writeNumericFields(BinaryCodec.Writer out);

    @Override
    default ErrorDetails details() {
        return new ErrorDetails(code(), facts(), remedy());
    }

    @Override
    String facts();

    @Override
    default String code() {
        return LeaseRejectionKind.of(this).code();
    }

    @Override
    default String remedy() {
        return LeaseRejectionKind.of(this).remedy();
    }

    /**
     * The sender is not the holder under this token: the grant has ended, or belongs to another
     * session.
     *
     * @param holderToken token of the current holder; 0 if the lease is not held
     */
    record NotHolder(String name, long token, long holderToken) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-not-holder";

        @Override
        public String facts() {
            String holder =
                    holderToken == 0
                            ? "the lease is not held"
                            : "token " + holderToken + " is the current token";
            return "token "
                    + token
                    + " of lease "
                    + name
                    + " is not the sender's current token, "
                    + holder;
        }

        @Override
        public void writeNumericFields(BinaryCodec.Writer out) {
            out.i64(token).i64(holderToken);
        }
    }

    /** The sender's session already holds the lease under this token. */
    record AlreadyHeld(String name, long token) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-already-holds";

        @Override
        public String facts() {
            return "the session already holds lease " + name + " under token " + token;
        }

        @Override
        public void writeNumericFields(BinaryCodec.Writer out) {
            out.i64(token);
        }
    }

    /**
     * The sender's session is already queued for the lease.
     *
     * @param position position in the queue; 1 is the next to be granted the lease
     */
    record AlreadyQueued(String name, long position) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-already-waits";

        @Override
        public String facts() {
            return "the session is already queued for lease " + name + " at position " + position;
        }

        @Override
        public void writeNumericFields(BinaryCodec.Writer out) {
            out.i64(position);
        }
    }

    /** Another session holds the lease, and the sender did not request to be queued. */
    record HeldByOther(String name, long holderToken) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-is-held";

        @Override
        public String facts() {
            return "lease " + name + " is held by another session under token " + holderToken;
        }

        @Override
        public void writeNumericFields(BinaryCodec.Writer out) {
            out.i64(holderToken);
        }
    }

    /**
     * The lease's queue is full.
     *
     * @param waiterCount number of queued sessions, which is the limit
     */
    record QueueFull(String name, long waiterCount) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-queue-full";

        @Override
        public String facts() {
            return waiterCount + " sessions are queued for lease " + name + ", which is the limit";
        }

        @Override
        public void writeNumericFields(BinaryCodec.Writer out) {
            out.i64(waiterCount);
        }
    }

    /** The maximum number of leases is held already. */
    record TooManyLeases(String name, long maxLeases) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-too-many";

        @Override
        public String facts() {
            return "lease " + name + " would exceed the limit of " + maxLeases + " leases";
        }

        @Override
        public void writeNumericFields(BinaryCodec.Writer out) {
            out.i64(maxLeases);
        }
    }

    /** The name is empty, or the time to live is out of bounds. */
    record InvalidTerms(String name, long ttlNanos, long minTtlNanos, long maxTtlNanos)
            implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-bad-terms";

        @Override
        public String facts() {
            return String.format(
                    "lease '%s' with a time to live of %d ns is invalid: the name must not be"
                            + " empty, and the time to live must be from %d to %d ns",
                    name, ttlNanos, minTtlNanos, maxTtlNanos);
        }

        @Override
        public void writeNumericFields(BinaryCodec.Writer out) {
            out.i64(ttlNanos).i64(minTtlNanos).i64(maxTtlNanos);
        }
    }

    /**
     * The leader found the grant expired, but it was renewed before the expiry was applied.
     *
     * @param renewals total number of renewals of the grant
     */
    record RenewedConcurrently(String name, long token, long renewals) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-renewed-meanwhile";

        @Override
        public String facts() {
            return String.format(
                    "lease %s, token %d, was renewed before its expiry was applied; %d renewals in"
                            + " total",
                    name, token, renewals);
        }

        @Override
        public void writeNumericFields(BinaryCodec.Writer out) {
            out.i64(token).i64(renewals);
        }
    }

    /** No session is queued, or the session named as successor is not. */
    record NoSuccessor(String name, long successor) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-no-successor";

        @Override
        public String facts() {
            return successor == LeaseCommand.Transfer.FIRST_WAITER
                    ? "no session is queued for lease " + name
                    : "session " + successor + " is not queued for lease " + name;
        }

        @Override
        public void writeNumericFields(BinaryCodec.Writer out) {
            out.i64(successor);
        }
    }

    /** The holder's session has ended: the grant cannot be renewed and will expire. */
    record SessionEnded(String name, long token) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-session-ended";

        @Override
        public String facts() {
            return "the session that holds lease " + name + " under token " + token + " has ended";
        }

        @Override
        public void writeNumericFields(BinaryCodec.Writer out) {
            out.i64(token);
        }
    }

    /** The command may be sent only by the leader, or only by a member's session. */
    record SenderNotPermitted(String name, long session) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-not-its-to-say";

        @Override
        public String facts() {
            return "session " + session + " may not send this command for lease " + name;
        }

        @Override
        public void writeNumericFields(BinaryCodec.Writer out) {
            out.i64(session);
        }
    }

    /** The resource has accepted a higher token. */
    record TokenOutdated(String name, long token, long highestToken) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-token-outdated";

        @Override
        public String facts() {
            return String.format(
                    "an action under token %d of lease %s arrived after an action under token %d",
                    token, name, highestToken);
        }

        @Override
        public void writeNumericFields(BinaryCodec.Writer out) {
            out.i64(token).i64(highestToken);
        }
    }

    /**
     * According to its own clock, or to the answers it received, this process does not hold the
     * lease. The action was not executed.
     *
     * @param token the token that was held; 0 if there was none
     * @param nanosSinceExpiry nanoseconds since the grant expired by the local clock; 0 if there
     *     was no token
     */
    record NotHeldLocally(String name, long token, long nanosSinceExpiry)
            implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-not-held-here";

        @Override
        public String facts() {
            return token == 0
                    ? "lease " + name + " is not held by this process"
                    : String.format(
                            "lease %s, token %d, expired by the local clock %d ns ago",
                            name, token, nanosSinceExpiry);
        }

        @Override
        public void writeNumericFields(BinaryCodec.Writer out) {
            out.i64(token).i64(nanosSinceExpiry);
        }
    }

    /**
     * Encodes the rejection as the state machine's answer: the code, then the name and the numeric
     * fields.
     */
    default CommandEffects toEffects() {
        BinaryCodec.Writer out = new BinaryCodec.Writer().text(name());
        writeNumericFields(out);
        return CommandEffects.rejected(code(), out.toByteArray());
    }

    /**
     * Decodes a rejection.
     *
     * @param code the rejection's {@code CODE}
     * @param response the body of the answer
     * @throws calicostream.cluster.ClusterException.Malformed if the code or the body is not that
     *     of a lease rejection
     */
    static LeaseRejection decode(String code, byte[] response) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("refusal " + code, response);
        String name = in.text(LeaseLimits.MAX_NAME_BYTES);
        LeaseRejection decoded =
                switch (code) {
                    case NotHolder.CODE -> new NotHolder(name, in.i64(), in.i64());
                    case AlreadyHeld.CODE -> new AlreadyHeld(name, in.i64());
                    case AlreadyQueued.CODE -> new AlreadyQueued(name, in.i64());
                    case HeldByOther.CODE -> new HeldByOther(name, in.i64());
                    case QueueFull.CODE -> new QueueFull(name, in.i64());
                    case TooManyLeases.CODE -> new TooManyLeases(name, in.i64());
                    case InvalidTerms.CODE -> new InvalidTerms(name, in.i64(), in.i64(), in.i64());
                    case RenewedConcurrently.CODE ->
                            new RenewedConcurrently(name, in.i64(), in.i64());
                    case NoSuccessor.CODE -> new NoSuccessor(name, in.i64());
                    case SessionEnded.CODE -> new SessionEnded(name, in.i64());
                    case SenderNotPermitted.CODE -> new SenderNotPermitted(name, in.i64());
                    case TokenOutdated.CODE -> new TokenOutdated(name, in.i64(), in.i64());
                    case NotHeldLocally.CODE -> new NotHeldLocally(name, in.i64(), in.i64());
                    default -> throw in.malformed("unknown code of a lease rejection");
                };
        in.requireEnd();
        return decoded;
    }
}
