// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import calicostream.errors.ErrorDetails;
import calicostream.errors.OperationalException;
import calicostream.errors.OperatorDocumentation;

/**
 * What can go wrong in the cluster, as one sealed family: each type has a stable code, the facts in
 * its message, and what an operator can do. None of them reaches a client of a front end; the
 * request path never waits for the cluster. Instances are immutable and carry no stack trace unless
 * one helps to find a fault of the program.
 */
@OperatorDocumentation(value = "cluster.md", prefixes = "cluster-")
public abstract sealed class ClusterException extends OperationalException {
    private static final long serialVersionUID = 1L;

    private ClusterException(String code, String facts, String remedy) {
        super(new ErrorDetails(code, facts, remedy));
    }

    /** Bytes of a peer, a client or a disk are not what they should be. */
    public static final class Malformed extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-malformed";

        public Malformed(String what, int position, String why) {
            super(
                    CODE,
                    what + " at byte " + position + ": " + why,
                    "Look whether two versions of the program, or another program, share this"
                            + " address or folder.");
        }
    }

    /** This process does not lead; nothing was proposed. */
    public static final class NotLeader extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-not-leader";
        private final int leader;

        /**
         * @param leader as far as is known here; 0 if not
         */
        public NotLeader(int member, int leader, long era) {
            super(
                    CODE,
                    "member "
                            + member
                            + " does not lead"
                            + (leader == 0
                                    ? ", nor is a leader known"
                                    : ", member " + leader + " does, era " + era),
                    "Nothing, if it lasts under some election time-outs; else see which voters miss"
                            + " each other.");
            this.leader = leader;
        }

        public int leader() {
            return leader;
        }
    }

    /**
     * The bounded queue of commands is full; nothing was proposed, a retry with the same number is
     * safe.
     */
    public static final class QueueFull extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-queue-full";

        public QueueFull(int member, int waiting, int limit) {
            super(
                    CODE,
                    "member " + member + " has " + waiting + " commands waiting of " + limit,
                    "See whether a quorum answers slowly (disk, link); the sender retries by"
                            + " itself.");
        }
    }

    /**
     * The outcome is not known: it may have been applied or still be. Retry with the same session
     * and number.
     */
    public static final class Unsure extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-unsure";

        public Unsure(int member, long session, long sequence, String why) {
            super(
                    CODE,
                    "member "
                            + member
                            + ", session "
                            + session
                            + ", command "
                            + sequence
                            + ": "
                            + why,
                    "Nothing: the sender retries with the same number, which counts once.");
        }
    }

    /** The session is not, or no longer, known; whatever depended on it is over. */
    public static final class SessionOver extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-session-over";

        public SessionOver(long session, long index) {
            super(
                    CODE,
                    "session " + session + " is not alive at index " + index,
                    "See why the member was not heard for a session's time: stopped, cut off, or"
                            + " its clock ran fast.");
        }
    }

    /**
     * The command's number was already used and its answer acknowledged, or numbers were skipped.
     */
    public static final class OutOfOrder extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-out-of-order";

        public OutOfOrder(long session, long sequence, long expected) {
            super(
                    CODE,
                    "session " + session + " sent command " + sequence + ", expected " + expected,
                    "Report it: a member numbers its commands wrongly, or two processes use one"
                            + " member's name.");
        }
    }

    /** The sender has more commands without acknowledgement than are remembered for it. */
    public static final class TooManyOpen extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-too-many-open";

        public TooManyOpen(long session, long open, int limit) {
            super(
                    CODE,
                    "session " + session + " has " + open + " unacknowledged, limit " + limit,
                    "Nothing: the sender waits for answers before it sends more.");
        }
    }

    /** A larger command than the log takes. */
    public static final class TooLarge extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-too-large";

        public TooLarge(String what, long bytes, long limit) {
            super(
                    CODE,
                    what + " of " + bytes + " bytes, limit " + limit,
                    "Report it: a machine of the program makes commands that are larger than the"
                            + " log takes.");
        }
    }

    /** A machine of that name is not composed into this build or not configured. */
    public static final class UnknownMachine extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-unknown-machine";

        public UnknownMachine(String machine) {
            super(
                    CODE,
                    "no machine is named " + machine,
                    "Bring all voters to one version of the program before its new parts are"
                            + " configured.");
        }
    }

    /** A session's time to live is out of bounds. */
    public static final class BadTtl extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-bad-ttl";

        public BadTtl(long millis, long least, long most) {
            super(
                    CODE,
                    "a session of " + millis + " ms, allowed " + least + ".." + most,
                    "Set the session's time in the cluster's settings within these bounds.");
        }
    }

    /** A member, or the fleet, has more sessions than are kept. */
    public static final class TooManySessions extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-too-many-sessions";

        public TooManySessions(long member, long ofMember, long all) {
            super(
                    CODE,
                    "member " + member + " has " + ofMember + " sessions, the fleet " + all,
                    "Look whether the member restarts in a circle; its old sessions end by"
                            + " themselves.");
        }
    }

    /** A leader proposed what it had counted, and another leads since. Nothing was changed. */
    public static final class OldEra extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-old-era";

        public OldEra(long era, long now) {
            super(
                    CODE,
                    "counted in era " + era + ", now is era " + now,
                    "Nothing: the new leader counts by itself.");
        }
    }

    /** No answer from a quorum in time; the request changed nothing. */
    public static final class NoQuorum extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-no-quorum";

        public NoQuorum(long member, long sinceMillis) {
            super(
                    CODE,
                    "member "
                            + member
                            + " has had no answer of a quorum for "
                            + sinceMillis
                            + " ms",
                    "See which voters are down or cut off; if most are gone for good, follow the"
                            + " page on a lost quorum.");
        }
    }

    /**
     * This voter has stopped by itself, since going on could make its copy differ or break its
     * word.
     */
    public static final class VoterStopped extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-voter-stopped";

        public VoterStopped(int member, String why) {
            super(
                    CODE,
                    "voter " + member + " stopped: " + why,
                    "See the reason; once it is mended restart the process, or replace this voter"
                            + " by another.");
        }
    }

    /**
     * This voter's disk, or a peer, shows that it has forgotten what it promised; it neither votes
     * nor acknowledges any more.
     */
    public static final class VoterForgot extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-voter-forgot";

        public VoterForgot(int member, int generation, String why) {
            super(
                    CODE,
                    "voter " + member + " of generation " + generation + " is barred: " + why,
                    "Raise this member's generation, which gives it empty folders, and have the"
                            + " voters changed to that one.");
        }
    }

    /** The change of voters was not started: another one runs, or it would leave too few. */
    public static final class BadChange extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-bad-change";

        public BadChange(String change, String why) {
            super(
                    CODE,
                    change + ": " + why,
                    "Wait for the change that runs, or name another voter; nothing was changed.");
        }
    }

    /**
     * A generation of a voter that was removed, or is older than one that was added, must not come
     * back.
     */
    public static final class GenerationOver extends ClusterException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "cluster-generation-over";

        public GenerationOver(int member, int generation, int next) {
            super(
                    CODE,
                    "generation "
                            + generation
                            + " of member "
                            + member
                            + " is over, the next is "
                            + next,
                    "Start this member's voter with empty folders under the generation that is"
                            + " named, and add that one.");
        }
    }

    /**
     * The error that was sent as a code and its facts; an unknown code becomes {@link Malformed}.
     */
    static ClusterException of(String code, BinaryCodec.Reader in) {
        return switch (code) {
            case NotLeader.CODE -> new NotLeader((int) in.i64(), (int) in.i64(), in.i64());
            case QueueFull.CODE -> new QueueFull((int) in.i64(), (int) in.i64(), (int) in.i64());
            case SessionOver.CODE -> new SessionOver(in.i64(), in.i64());
            case OutOfOrder.CODE -> new OutOfOrder(in.i64(), in.i64(), in.i64());
            case TooManyOpen.CODE -> new TooManyOpen(in.i64(), in.i64(), (int) in.i64());
            case BadTtl.CODE -> new BadTtl(in.i64(), in.i64(), in.i64());
            case TooManySessions.CODE -> new TooManySessions(in.i64(), in.i64(), in.i64());
            case OldEra.CODE -> new OldEra(in.i64(), in.i64());
            case NoQuorum.CODE -> new NoQuorum(in.i64(), in.i64());
            case GenerationOver.CODE ->
                    new GenerationOver((int) in.i64(), (int) in.i64(), (int) in.i64());
            case TooLarge.CODE -> new TooLarge("request", in.i64(), in.i64());
            case UnknownMachine.CODE -> new UnknownMachine("(of a request)");
            case Malformed.CODE -> in.malformed("so said the peer of what was sent to it");
            case Unsure.CODE ->
                    new Unsure((int) in.i64(), in.i64(), in.i64(), "the leader changed");
            default -> in.malformed("no error has this code");
        };
    }
}
