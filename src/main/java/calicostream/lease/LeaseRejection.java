// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.CommandEffects;
import calicostream.errors.ErrorDetails;
import calicostream.errors.OperationalError;
import calicostream.errors.OperatorDocumentation;

/**
 * Why a lease's machine, a holder or a fenced resource did not do what was asked. Immutable. It is
 * an answer, and thrown nowhere.
 */
@OperatorDocumentation(value = "lease.md", prefixes = "lease-")
public sealed interface LeaseRejection extends OperationalError {
    /** The lease. */
    String name();

    @Override
    default ErrorDetails details() {
        return new ErrorDetails(code(), facts(), remedy());
    }

    @Override
    String facts();

    @Override
    default String code() {
        return Kind.of(this).code;
    }

    @Override
    default String remedy() {
        return Kind.of(this).remedy;
    }

    /**
     * The token is not the holder's: the lease ended, or never was the sender's. {@code holder} is
     * 0 if nobody holds.
     */
    record NotHolder(String name, long token, long holder) implements LeaseRejection {
        public static final String CODE = "lease-not-holder";

        @Override
        public String facts() {
            return "token "
                    + token
                    + " of lease "
                    + name
                    + " is over, "
                    + (holder == 0 ? "nobody holds it" : "token " + holder + " holds it");
        }
    }

    /** The session holds it already, under this token. */
    record AlreadyHolds(String name, long token) implements LeaseRejection {
        public static final String CODE = "lease-already-holds";

        @Override
        public String facts() {
            return "the session holds lease " + name + " already, token " + token;
        }
    }

    /** The session waits for it already. */
    record AlreadyWaits(String name, long place) implements LeaseRejection {
        public static final String CODE = "lease-already-waits";

        @Override
        public String facts() {
            return "the session waits for lease " + name + " already, place " + place;
        }
    }

    /** Another holds it and the sender would not wait. */
    record IsHeld(String name, long holder) implements LeaseRejection {
        public static final String CODE = "lease-is-held";

        @Override
        public String facts() {
            return "lease " + name + " is held under token " + holder;
        }
    }

    /** As many wait as are let. */
    record QueueFull(String name, long waiting) implements LeaseRejection {
        public static final String CODE = "lease-queue-full";

        @Override
        public String facts() {
            return waiting + " sessions wait for lease " + name + ", no more are let";
        }
    }

    /** There are as many leases as are let. */
    record TooManyLeases(String name, long leases) implements LeaseRejection {
        public static final String CODE = "lease-too-many";

        @Override
        public String facts() {
            return "lease " + name + " would be one more than the " + leases + " that are let";
        }
    }

    /** The name is empty, or the time to live is out of its bounds (nanoseconds). */
    record BadTerms(String name, long ttl, long least, long most) implements LeaseRejection {
        public static final String CODE = "lease-bad-terms";

        @Override
        public String facts() {
            return "lease '"
                    + name
                    + "' with a time to live of "
                    + ttl
                    + " ns, which must be "
                    + least
                    + " to "
                    + most
                    + ", and a name";
        }
    }

    /** It was renewed after the leader had found it to have run out. */
    record RenewedMeanwhile(String name, long token, long renewals) implements LeaseRejection {
        public static final String CODE = "lease-renewed-meanwhile";

        @Override
        public String facts() {
            return "lease "
                    + name
                    + ", token "
                    + token
                    + ", was renewed meanwhile, "
                    + renewals
                    + " times in all";
        }
    }

    /** Nobody waits, or not the session that was named. */
    record NoSuccessor(String name, long to) implements LeaseRejection {
        public static final String CODE = "lease-no-successor";

        @Override
        public String facts() {
            return to == 0
                    ? "nobody waits for lease " + name
                    : "session " + to + " does not wait for lease " + name;
        }
    }

    /** The holder's session is over: the lease runs out and is not renewed. */
    record SessionEnded(String name, long token) implements LeaseRejection {
        public static final String CODE = "lease-session-ended";

        @Override
        public String facts() {
            return "the session that holds lease " + name + ", token " + token + ", is over";
        }
    }

    /** Only the leader, or only a member's session, may send this. */
    record NotItsToSay(String name, long session) implements LeaseRejection {
        public static final String CODE = "lease-not-its-to-say";

        @Override
        public String facts() {
            return "session " + session + " may not send this about lease " + name;
        }
    }

    /** A resource has seen a higher token. */
    record TokenOutdated(String name, long token, long highest) implements LeaseRejection {
        public static final String CODE = "lease-token-outdated";

        @Override
        public String facts() {
            return "an act under token "
                    + token
                    + " of lease "
                    + name
                    + " came after one under token "
                    + highest;
        }
    }

    /**
     * By its own clock, or by what it was told, this process does not hold it, and it did nothing.
     */
    record NotHeldHere(String name, long token, long sinceNanos) implements LeaseRejection {
        public static final String CODE = "lease-not-held-here";

        @Override
        public String facts() {
            return token == 0
                    ? "lease " + name + " is not held here"
                    : "lease "
                            + name
                            + ", token "
                            + token
                            + ", ended here "
                            + sinceNanos
                            + " ns ago";
        }
    }

    /** Codes and remedies, one for each type. */
    enum Kind {
        NOT_HOLDER(
                NotHolder.CODE,
                "Nothing, if it is rare: the fence held. Often: the holder stops or is cut off; see"
                        + " its pauses and links.",
                NotHolder.class),
        ALREADY_HOLDS(
                AlreadyHolds.CODE,
                "Nothing: the process renews under that token.",
                AlreadyHolds.class),
        ALREADY_WAITS(
                AlreadyWaits.CODE, "Nothing: the process keeps its place.", AlreadyWaits.class),
        IS_HELD(IsHeld.CODE, "Nothing: another process does the task.", IsHeld.class),
        QUEUE_FULL(
                QueueFull.CODE,
                "See whether processes start again and again: each takes a new session and a new"
                        + " place.",
                QueueFull.class),
        TOO_MANY_LEASES(
                TooManyLeases.CODE,
                "See the names in the figures; a task makes a lease for each of something that is"
                        + " unbounded.",
                TooManyLeases.class),
        BAD_TERMS(
                BadTerms.CODE,
                "Correct the lease's name or time to live in the settings.",
                BadTerms.class),
        RENEWED_MEANWHILE(
                RenewedMeanwhile.CODE,
                "Nothing: the renewal came before the end, as it should.",
                RenewedMeanwhile.class),
        NO_SUCCESSOR(
                NoSuccessor.CODE,
                "Nothing: the holder releases instead, and the next to ask gets it.",
                NoSuccessor.class),
        SESSION_ENDED(
                SessionEnded.CODE,
                "See why the holder was not heard for a session's time: stopped, cut off, or its"
                        + " clock ran fast.",
                SessionEnded.class),
        NOT_ITS_TO_SAY(
                NotItsToSay.CODE,
                "Report it: a process sends what only a leader or only a member may.",
                NotItsToSay.class),
        TOKEN_OUTDATED(
                TokenOutdated.CODE,
                "Nothing: the fence held. Find out why the former holder stopped between its check"
                        + " and its act.",
                TokenOutdated.class),
        NOT_HELD_HERE(
                NotHeldHere.CODE,
                "See why it could not renew: no quorum, a cut link, or a pause of this process.",
                NotHeldHere.class);

        final String code;
        final String remedy;
        final Class<? extends LeaseRejection> type;

        Kind(String code, String remedy, Class<? extends LeaseRejection> type) {
            this.code = code;
            this.remedy = remedy;
            this.type = type;
        }

        static Kind of(LeaseRejection rejection) {
            for (Kind kind : values()) {
                if (kind.type == rejection.getClass()) {
                    return kind;
                }
            }
            throw new IllegalStateException(rejection + " has no code");
        }
    }

    /** As the machine answers it. */
    default CommandEffects refusal() {
        BinaryCodec.Writer out = new BinaryCodec.Writer().text(name());
        for (long each : numbers()) {
            out.i64(each);
        }
        return CommandEffects.rejected(code(), out.toByteArray());
    }

    private long[] numbers() {
        if (this instanceof NotHolder r) {
            return new long[] {r.token, r.holder};
        } else if (this instanceof AlreadyHolds r) {
            return new long[] {r.token};
        } else if (this instanceof AlreadyWaits r) {
            return new long[] {r.place};
        } else if (this instanceof IsHeld r) {
            return new long[] {r.holder};
        } else if (this instanceof QueueFull r) {
            return new long[] {r.waiting};
        } else if (this instanceof TooManyLeases r) {
            return new long[] {r.leases};
        } else if (this instanceof BadTerms r) {
            return new long[] {r.ttl, r.least, r.most};
        } else if (this instanceof RenewedMeanwhile r) {
            return new long[] {r.token, r.renewals};
        } else if (this instanceof NoSuccessor r) {
            return new long[] {r.to};
        } else if (this instanceof SessionEnded r) {
            return new long[] {r.token};
        } else if (this instanceof NotItsToSay r) {
            return new long[] {r.session};
        } else if (this instanceof TokenOutdated r) {
            return new long[] {r.token, r.highest};
        }
        NotHeldHere here = (NotHeldHere) this;
        return new long[] {here.token, here.sinceNanos};
    }

    /**
     * @throws calicostream.cluster.ClusterException.Malformed if it is no refusal of a lease
     */
    static LeaseRejection decode(String code, byte[] facts) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("refusal " + code, facts);
        String name = in.text(LeaseLimits.NAME);
        LeaseRejection read =
                switch (code) {
                    case NotHolder.CODE -> new NotHolder(name, in.i64(), in.i64());
                    case AlreadyHolds.CODE -> new AlreadyHolds(name, in.i64());
                    case AlreadyWaits.CODE -> new AlreadyWaits(name, in.i64());
                    case IsHeld.CODE -> new IsHeld(name, in.i64());
                    case QueueFull.CODE -> new QueueFull(name, in.i64());
                    case TooManyLeases.CODE -> new TooManyLeases(name, in.i64());
                    case BadTerms.CODE -> new BadTerms(name, in.i64(), in.i64(), in.i64());
                    case RenewedMeanwhile.CODE -> new RenewedMeanwhile(name, in.i64(), in.i64());
                    case NoSuccessor.CODE -> new NoSuccessor(name, in.i64());
                    case SessionEnded.CODE -> new SessionEnded(name, in.i64());
                    case NotItsToSay.CODE -> new NotItsToSay(name, in.i64());
                    case TokenOutdated.CODE -> new TokenOutdated(name, in.i64(), in.i64());
                    case NotHeldHere.CODE -> new NotHeldHere(name, in.i64(), in.i64());
                    default -> throw in.malformed("no refusal of a lease");
                };
        in.requireEnd();
        return read;
    }
}
