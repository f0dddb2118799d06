// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.CommandEffects;
import calicostream.errors.ErrorDetails;
import calicostream.errors.OperationalError;
import calicostream.errors.OperatorDocumentation;

/**
 * Why {@link LeaseStateMachine}, a {@link LeaseHolder} or a {@link FencedResource} did not do what
 * was requested. Immutable; a value that is returned and never thrown.
 */
@OperatorDocumentation(value = "lease.md", prefixes = "lease-")
public sealed interface LeaseRejection extends OperationalError {
    /** The lease. */
    String name();

    /** Writes all fields but the name, in the order of the record's components. */
    void writeNumbers(BinaryCodec.Writer out);

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
     * The token is not the current holder's: the grant has ended, or was never the sender's.
     *
     * @param holderToken token of the current holder; 0 if nobody holds the lease
     */
    record NotHolder(String name, long token, long holderToken) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-not-holder";

        @Override
        public String facts() {
            String holder =
                    holderToken == 0 ? "nobody holds it" : "token " + holderToken + " holds it";
            return "token " + token + " of lease " + name + " has ended, " + holder;
        }

        @Override
        public void writeNumbers(BinaryCodec.Writer out) {
            out.i64(token).i64(holderToken);
        }
    }

    /** The sender's session holds the lease already, under this token. */
    record AlreadyHeld(String name, long token) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-already-holds";

        @Override
        public String facts() {
            return "the session holds lease " + name + " already, token " + token;
        }

        @Override
        public void writeNumbers(BinaryCodec.Writer out) {
            out.i64(token);
        }
    }

    /**
     * The sender's session is queued already.
     *
     * @param position 1 for the next
     */
    record AlreadyQueued(String name, long position) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-already-waits";

        @Override
        public String facts() {
            return "the session is queued for lease " + name + " already, position " + position;
        }

        @Override
        public void writeNumbers(BinaryCodec.Writer out) {
            out.i64(position);
        }
    }

    /** Another session holds the lease, and the sender did not ask to be queued. */
    record HeldByOther(String name, long holderToken) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-is-held";

        @Override
        public String facts() {
            return "lease " + name + " is held under token " + holderToken;
        }

        @Override
        public void writeNumbers(BinaryCodec.Writer out) {
            out.i64(holderToken);
        }
    }

    /**
     * The lease's queue is full.
     *
     * @param waiterCount number of queued sessions, which is the bound
     */
    record QueueFull(String name, long waiterCount) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-queue-full";

        @Override
        public String facts() {
            return waiterCount + " sessions are queued for lease " + name + ", the most allowed";
        }

        @Override
        public void writeNumbers(BinaryCodec.Writer out) {
            out.i64(waiterCount);
        }
    }

    /** The lease would be one more than are allowed. */
    record TooManyLeases(String name, long maxLeases) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-too-many";

        @Override
        public String facts() {
            return "lease " + name + " would be one more than the " + maxLeases + " allowed";
        }

        @Override
        public void writeNumbers(BinaryCodec.Writer out) {
            out.i64(maxLeases);
        }
    }

    /** The name is empty, or the time to live is out of its bounds (nanoseconds). */
    record InvalidTerms(String name, long ttlNanos, long minTtlNanos, long maxTtlNanos)
            implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-bad-terms";

        @Override
        public String facts() {
            return String.format(
                    "lease '%s' with a time to live of %d ns: the name must not be empty, and the"
                            + " time to live must be %d to %d ns",
                    name, ttlNanos, minTtlNanos, maxTtlNanos);
        }

        @Override
        public void writeNumbers(BinaryCodec.Writer out) {
            out.i64(ttlNanos).i64(minTtlNanos).i64(maxTtlNanos);
        }
    }

    /**
     * The grant was renewed after the leader had found it expired.
     *
     * @param renewals how often it was renewed in all
     */
    record RenewedConcurrently(String name, long token, long renewals) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-renewed-meanwhile";

        @Override
        public String facts() {
            return String.format(
                    "lease %s, token %d, was renewed before it could expire, %d times in all",
                    name, token, renewals);
        }

        @Override
        public void writeNumbers(BinaryCodec.Writer out) {
            out.i64(token).i64(renewals);
        }
    }

    /** Nobody is queued, or not the session that was named as successor. */
    record NoSuccessor(String name, long successor) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-no-successor";

        @Override
        public String facts() {
            return successor == LeaseCommand.Transfer.FIRST_WAITER
                    ? "nobody is queued for lease " + name
                    : "session " + successor + " is not queued for lease " + name;
        }

        @Override
        public void writeNumbers(BinaryCodec.Writer out) {
            out.i64(successor);
        }
    }

    /** The holder's session has ended: the grant cannot be renewed and will expire. */
    record SessionEnded(String name, long token) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-session-ended";

        @Override
        public String facts() {
            return "the session that holds lease " + name + ", token " + token + ", has ended";
        }

        @Override
        public void writeNumbers(BinaryCodec.Writer out) {
            out.i64(token);
        }
    }

    /** The command is reserved for the leader, or for members' sessions. */
    record SenderNotPermitted(String name, long session) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-not-its-to-say";

        @Override
        public String facts() {
            return "session " + session + " may not send this command for lease " + name;
        }

        @Override
        public void writeNumbers(BinaryCodec.Writer out) {
            out.i64(session);
        }
    }

    /** The resource has seen a higher token. */
    record TokenOutdated(String name, long token, long highestToken) implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-token-outdated";

        @Override
        public String facts() {
            return String.format(
                    "an action under token %d of lease %s came after one under token %d",
                    token, name, highestToken);
        }

        @Override
        public void writeNumbers(BinaryCodec.Writer out) {
            out.i64(token).i64(highestToken);
        }
    }

    /**
     * By its own clock, or by the answers it had, this process does not hold the lease; nothing was
     * done.
     *
     * @param token that was held; 0 if none
     * @param nanosSinceExpiry since the grant expired by the local clock; 0 without a token
     */
    record NotHeldLocally(String name, long token, long nanosSinceExpiry)
            implements LeaseRejection {
        /** The error code. */
        public static final String CODE = "lease-not-held-here";

        @Override
        public String facts() {
            return token == 0
                    ? "lease " + name + " is not held here"
                    : String.format(
                            "lease %s, token %d, ended here %d ns ago",
                            name, token, nanosSinceExpiry);
        }

        @Override
        public void writeNumbers(BinaryCodec.Writer out) {
            out.i64(token).i64(nanosSinceExpiry);
        }
    }

    /** The rejection as the state machine answers it: the code, then name and numbers. */
    default CommandEffects toEffects() {
        BinaryCodec.Writer out = new BinaryCodec.Writer().text(name());
        writeNumbers(out);
        return CommandEffects.rejected(code(), out.toByteArray());
    }

    /**
     * Decodes a rejection.
     *
     * @param code the rejection's {@code CODE}
     * @param facts the answer that came with it
     * @throws calicostream.cluster.ClusterException.Malformed if it is not a rejection of a lease
     *     command
     */
    static LeaseRejection decode(String code, byte[] facts) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("refusal " + code, facts);
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
                    default -> throw in.malformed("not a lease rejection");
                };
        in.requireEnd();
        return decoded;
    }
}
