// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import calicostream.errors.ErrorDetails;
import calicostream.errors.OperationalException;
import calicostream.errors.OperatorDocumentation;

/**
 * The errors of the cluster, as one sealed family: each type has a stable code, its facts, and a
 * remedy for operators. None of them reaches a client of a front end, since the request path never
 * waits for the cluster. Instances are immutable and carry no stack trace.
 */
@OperatorDocumentation(value = "cluster.md", prefixes = "cluster-")
public abstract sealed class ClusterException extends OperationalException {
    private static final long serialVersionUID = 1L;

    private ClusterException(String code, String facts, String remedy) {
        super(new ErrorDetails(code, facts, remedy));
    }

    /** Bytes from a peer, a client or a disk can't be decoded. */
    public static final class Malformed extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-malformed";

        /** Tells what could not be decoded, at which byte, and why. */
        public Malformed(String what, int position, String why) {
            super(
                    CODE,
                    what + " at byte " + position + ": " + why,
                    "Look whether two versions of the program, or another program, share this"
                            + " address or folder.");
        }
    }

    /** This process is not the leader; nothing was proposed. */
    public static final class NotLeader extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-not-leader";

        private final int leader;

        /**
         * Names the leader, for a redirect.
         *
         * @param member that was asked
         * @param leader as far as it is known to that member; 0 if not
         * @param epoch of the leader
         */
        public NotLeader(int member, int leader, long epoch) {
            super(
                    CODE,
                    "member "
                            + member
                            + " does not lead"
                            + (leader == 0
                                    ? ", nor is a leader known"
                                    : ", member " + leader + " does, epoch " + epoch),
                    "Nothing, if it lasts under some election time-outs; else see which voters miss"
                            + " each other.");
            this.leader = leader;
        }

        /** The leader's member number; 0 if it is not known. */
        public int leader() {
            return leader;
        }
    }

    /**
     * The bounded queue of commands is full; nothing was proposed, so a retry with the same
     * sequence number is safe.
     */
    public static final class QueueFull extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-queue-full";

        /** Tells how many commands wait at a member, of how many allowed. */
        public QueueFull(int member, int waiting, int limit) {
            super(
                    CODE,
                    "member " + member + " has " + waiting + " commands waiting of " + limit,
                    "See whether a quorum answers slowly (disk, link); the sender retries by"
                            + " itself.");
        }
    }

    /**
     * The outcome of a command is not known: it may have been applied or may still be. A retry with
     * the same session and sequence number is safe.
     */
    public static final class OutcomeUnknown extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-unsure";

        /** Tells which command, by its session and sequence number. */
        public OutcomeUnknown(int member, long session, long sequence, String why) {
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

    /** The session is not, or no longer, alive; whatever depended on it has ended. */
    public static final class SessionEnded extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-session-over";

        /** Tells which session, and the index at which it was not alive. */
        public SessionEnded(long session, long index) {
            super(
                    CODE,
                    "session " + session + " is not alive at index " + index,
                    "See why the member was not heard for a session's time: stopped, cut off, or"
                            + " its clock ran fast.");
        }
    }

    /**
     * The command's sequence number was used and its outcome acknowledged, or numbers were skipped.
     */
    public static final class SequenceOutOfOrder extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-out-of-order";

        /** Tells the sequence number that was sent and the next valid one. */
        public SequenceOutOfOrder(long session, long sequence, long expected) {
            super(
                    CODE,
                    "session " + session + " sent command " + sequence + ", expected " + expected,
                    "Report it: a member numbers its commands wrongly, or two processes use one"
                            + " member's name.");
        }
    }

    /** The sender has more unacknowledged commands than outcomes are kept. */
    public static final class TooManyUnacknowledged extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-too-many-open";

        /** Tells how many commands are unacknowledged, of how many allowed. */
        public TooManyUnacknowledged(long session, long open, int limit) {
            super(
                    CODE,
                    "session " + session + " has " + open + " unacknowledged, limit " + limit,
                    "Nothing: the sender waits for answers before it sends more.");
        }
    }

    /** A command, response or frame exceeds its size limit. */
    public static final class TooLarge extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-too-large";

        /** Tells what was too large, its size and the limit in bytes. */
        public TooLarge(String what, long bytes, long limit) {
            super(
                    CODE,
                    what + " of " + bytes + " bytes, limit " + limit,
                    "Report it: a state machine of the program makes commands that are larger than"
                            + " the log takes.");
        }
    }

    /** A state machine of that name is not part of this build or not configured. */
    public static final class UnknownStateMachine extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-unknown-machine";

        /** Tells the name that is unknown. */
        public UnknownStateMachine(String machine) {
            super(
                    CODE,
                    "no state machine is named " + machine,
                    "Bring all voters to one version of the program before its new parts are"
                            + " configured.");
        }
    }

    /** A session's time to live is out of bounds. */
    public static final class InvalidSessionTtl extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-bad-ttl";

        /** Tells the requested time and its bounds, in milliseconds. */
        public InvalidSessionTtl(long millis, long least, long most) {
            super(
                    CODE,
                    "a session of " + millis + " ms, allowed " + least + ".." + most,
                    "Set the session's time in the cluster's settings within these bounds.");
        }
    }

    /** A member, or the cluster, has more sessions than are kept. */
    public static final class TooManySessions extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-too-many-sessions";

        /** Tells the sessions of the member and of all members. */
        public TooManySessions(long member, long ofMember, long all) {
            super(
                    CODE,
                    "member " + member + " has " + ofMember + " sessions, the fleet " + all,
                    "Look whether the member restarts in a circle; its old sessions end by"
                            + " themselves.");
        }
    }

    /** A leader's command of an earlier epoch: another leads since. Nothing was changed. */
    public static final class StaleEpoch extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-old-era";

        /** Tells the command's epoch and the current one. */
        public StaleEpoch(long epoch, long currentEpoch) {
            super(
                    CODE,
                    "proposed in epoch " + epoch + ", the current one is " + currentEpoch,
                    "Nothing: the new leader counts by itself.");
        }
    }

    /** No response from a quorum in time; the request changed nothing. */
    public static final class NoQuorum extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-no-quorum";

        /** Tells for how many milliseconds no quorum has responded. */
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
     * This voter has stopped, since going on could make its copy diverge or contradict what it had
     * acknowledged.
     */
    public static final class VoterStopped extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-voter-stopped";

        /** Tells why the voter stopped. */
        public VoterStopped(int member, String why) {
            super(
                    CODE,
                    "voter " + member + " stopped: " + why,
                    "See the reason; once it is mended restart the process, or replace this voter"
                            + " by another.");
        }
    }

    /**
     * This voter's disk, or a peer, shows that it has lost persistent state; it neither votes nor
     * acknowledges any more.
     */
    public static final class VoterStateLost extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-voter-forgot";

        /** Tells which voter, and how the loss was detected. */
        public VoterStateLost(int member, int generation, String why) {
            super(
                    CODE,
                    "voter " + member + " of generation " + generation + " is barred: " + why,
                    "Raise this member's generation, which gives it empty folders, and have the"
                            + " voters changed to that one.");
        }
    }

    /** A change of voters was rejected: another one runs, or it would leave too few. */
    public static final class InvalidVoterChange extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-bad-change";

        /** Tells which change, and why it was rejected. */
        public InvalidVoterChange(String change, String why) {
            super(
                    CODE,
                    change + ": " + why,
                    "Wait for the change that runs, or name another voter; nothing was changed.");
        }
    }

    /**
     * The generation of a voter is retired: it was removed, or is older than one that was added.
     */
    public static final class GenerationRetired extends ClusterException {
        private static final long serialVersionUID = 1L;

        /** Stable code of this error. */
        public static final String CODE = "cluster-generation-over";

        /** Tells the retired generation and the next valid one. */
        public GenerationRetired(int member, int generation, int next) {
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

    /** Decodes an error from its code and facts; an unknown code becomes {@link Malformed}. */
    static ClusterException of(String code, BinaryCodec.Reader in) {
        return switch (code) {
            case NotLeader.CODE -> new NotLeader((int) in.i64(), (int) in.i64(), in.i64());
            case QueueFull.CODE -> new QueueFull((int) in.i64(), (int) in.i64(), (int) in.i64());
            case SessionEnded.CODE -> new SessionEnded(in.i64(), in.i64());
            case SequenceOutOfOrder.CODE -> new SequenceOutOfOrder(in.i64(), in.i64(), in.i64());
            case TooManyUnacknowledged.CODE ->
                    new TooManyUnacknowledged(in.i64(), in.i64(), (int) in.i64());
            case InvalidSessionTtl.CODE -> new InvalidSessionTtl(in.i64(), in.i64(), in.i64());
            case TooManySessions.CODE -> new TooManySessions(in.i64(), in.i64(), in.i64());
            case StaleEpoch.CODE -> new StaleEpoch(in.i64(), in.i64());
            case NoQuorum.CODE -> new NoQuorum(in.i64(), in.i64());
            case GenerationRetired.CODE ->
                    new GenerationRetired((int) in.i64(), (int) in.i64(), (int) in.i64());
            case TooLarge.CODE -> new TooLarge("request", in.i64(), in.i64());
            case UnknownStateMachine.CODE -> new UnknownStateMachine("(of a request)");
            case Malformed.CODE -> in.malformed("reported by the peer for what was sent to it");
            case OutcomeUnknown.CODE ->
                    new OutcomeUnknown((int) in.i64(), in.i64(), in.i64(), "the leader changed");
            default -> in.malformed("unknown code of an error");
        };
    }
}
