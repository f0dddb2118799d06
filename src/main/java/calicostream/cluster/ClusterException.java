// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * What can go wrong in the cluster, as one sealed family: each type has a stable code, the facts in its message, and
 * what an operator can do. None of them reaches a client of a front end; the request path never waits for the cluster.
 * Instances are immutable and carry no stack trace unless one helps to find a fault of the program.
 */
public abstract sealed class ClusterException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final String code;
    private final String remedy;

    private ClusterException(String code, String facts, String remedy) {
        super(code + ": " + facts, null, false, false);
        this.code = code;
        this.remedy = remedy;
    }

    /** Stable; rows of the operators' page and figures are named by it. */
    public String code() {
        return code;
    }

    /** What an operator can do; one sentence. */
    public String remedy() {
        return remedy;
    }

    /** Bytes of a peer, a client or a disk are not what they should be. */
    public static final class Malformed extends ClusterException {
        private static final long serialVersionUID = 1L;

        public Malformed(String what, int position, String why) {
            super("cluster-malformed", what + " at byte " + position + ": " + why,
                    "Look whether two versions of the program, or another program, share this address or folder.");
        }
    }

    /** This process does not lead; nothing was proposed. */
    public static final class NotLeader extends ClusterException {
        private static final long serialVersionUID = 1L;
        private final int leader;

        /** @param leader as far as is known here; 0 if not */
        public NotLeader(int member, int leader, long era) {
            super("cluster-not-leader", "member " + member + " does not lead"
                    + (leader == 0 ? ", nor is a leader known" : ", member " + leader + " does, era " + era),
                    "Nothing, if it lasts under some election time-outs; else see which voters miss each other.");
            this.leader = leader;
        }

        public int leader() {
            return leader;
        }
    }

    /** The bounded queue of commands is full; nothing was proposed, a retry with the same number is safe. */
    public static final class QueueFull extends ClusterException {
        private static final long serialVersionUID = 1L;

        public QueueFull(int member, int waiting, int limit) {
            super("cluster-queue-full", "member " + member + " has " + waiting + " commands waiting of " + limit,
                    "See whether a quorum answers slowly (disk, link); the sender retries by itself.");
        }
    }

    /** The outcome is not known: it may have been applied or still be. Retry with the same session and number. */
    public static final class Unsure extends ClusterException {
        private static final long serialVersionUID = 1L;

        public Unsure(int member, long session, long sequence, String why) {
            super("cluster-unsure", "member " + member + ", session " + session + ", command " + sequence + ": " + why,
                    "Nothing: the sender retries with the same number, which counts once.");
        }
    }

    /** The session is not, or no longer, known; whatever depended on it is over. */
    public static final class SessionOver extends ClusterException {
        private static final long serialVersionUID = 1L;

        public SessionOver(long session, long index) {
            super("cluster-session-over", "session " + session + " is not alive at index " + index,
                    "See why the member was not heard for a session's time: stopped, cut off, or its clock ran fast.");
        }
    }

    /** The command's number was already used and its answer acknowledged, or numbers were skipped. */
    public static final class OutOfOrder extends ClusterException {
        private static final long serialVersionUID = 1L;

        public OutOfOrder(long session, long sequence, long expected) {
            super("cluster-out-of-order", "session " + session + " sent command " + sequence + ", expected " + expected,
                    "Report it: a member numbers its commands wrongly, or two processes use one member's name.");
        }
    }

    /** The sender has more commands without acknowledgement than are remembered for it. */
    public static final class TooManyOpen extends ClusterException {
        private static final long serialVersionUID = 1L;

        public TooManyOpen(long session, long open, int limit) {
            super("cluster-too-many-open", "session " + session + " has " + open + " unacknowledged, limit " + limit,
                    "Nothing: the sender waits for answers before it sends more.");
        }
    }

    /** A larger command than the log takes. */
    public static final class TooLarge extends ClusterException {
        private static final long serialVersionUID = 1L;

        public TooLarge(String what, long bytes, long limit) {
            super("cluster-too-large", what + " of " + bytes + " bytes, limit " + limit,
                    "Report it: a machine of the program makes commands that are larger than the log takes.");
        }
    }

    /** A machine of that name is not composed into this build or not configured. */
    public static final class UnknownMachine extends ClusterException {
        private static final long serialVersionUID = 1L;

        public UnknownMachine(String machine) {
            super("cluster-unknown-machine", "no machine is named " + machine,
                    "Bring all voters to one version of the program before its new parts are configured.");
        }
    }
}
