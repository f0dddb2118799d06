// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.List;

/**
 * A command to the {@link GrantStateMachine}; immutable. The cluster identifies the sender: a
 * process is identified by the cluster session under which it joined, and only the leader may
 * expire grants. {@link BudgetCommandCodec} has the encoding.
 */
public sealed interface BudgetCommand {
    /** The longest name of a process, tenant, engine or pool, in bytes. */
    int MAX_NAME_BYTES = 256;

    /** The largest number of sessions in any field of a command. */
    int MAX_SESSIONS = 1_000_000;

    /** Stands for an unknown number of sessions; larger than any engine's cap. */
    int UNKNOWN_SESSIONS = MAX_SESSIONS;

    /**
     * A process starts under a new cluster session. Sessions of its earlier incarnations become
     * orphaned.
     */
    record Join(String process) implements BudgetCommand {}

    /**
     * A process shuts down gracefully: it has no session at any engine and starts none until it
     * joins again.
     */
    record Leave() implements BudgetCommand {}

    /**
     * A process reports its usage and demand; this renews the lease of its grants.
     *
     * @param reportNumber increases with each report under the same cluster session
     * @param grantVersion version of the grants that the process uses; 0 if none are active
     */
    record Renew(
            long reportNumber,
            long grantVersion,
            List<EngineUsage> usages,
            List<TenantDemand> demands)
            implements BudgetCommand {
        /** Copies the lists. */
        public Renew {
            usages = List.copyOf(usages);
            demands = List.copyOf(demands);
        }
    }

    /**
     * Sessions of a process at an engine.
     *
     * @param sessions of the process's current incarnation, including unacknowledged ones
     * @param orphaned upper bound on the sessions that its earlier incarnations left running;
     *     {@link #UNKNOWN_SESSIONS} if unknown
     */
    record EngineUsage(String engine, long incarnation, int sessions, int orphaned) {}

    /** The process's estimate of a tenant's demand at an engine. */
    record TenantDemand(String engine, String tenant, int sessions) {}

    /**
     * The coordinator sets grants; grants that are not listed are unchanged. Applied or rejected as
     * a whole.
     *
     * @param fencingToken of the coordinator's lease
     */
    record Allocate(long fencingToken, List<Grant> grants) implements BudgetCommand {
        /** Copies the list. */
        public Allocate {
            grants = List.copyOf(grants);
        }
    }

    /**
     * Sessions that a tenant may use at an engine through the process that joined under the
     * session.
     */
    record Grant(
            String process,
            long session,
            String engine,
            long incarnation,
            String tenant,
            int sessions) {}

    /** An engine was added, was replaced by a newer incarnation, or has a new cap. */
    record UpdateEngine(String engine, long incarnation, String pool, int cap)
            implements BudgetCommand {}

    /** An engine was removed. */
    record RemoveEngine(String engine, long incarnation) implements BudgetCommand {}

    /**
     * An engine's own count of a process's sessions.
     *
     * @param session cluster session under which the process joined
     * @param forPredecessors whether the count covers all earlier incarnations of the process
     *     instead of the current one
     * @param appliedIndex last index that the sender's copy had applied when it requested the count
     * @param allConnectionsClosed whether the engine has no open connection from the earlier
     *     incarnations, so that none of their sessions can be in transit
     */
    record EngineCount(
            String engine,
            long incarnation,
            String process,
            long session,
            boolean forPredecessors,
            long appliedIndex,
            int running,
            boolean allConnectionsClosed)
            implements BudgetCommand {}

    /**
     * Sent by the leader when a full lease time has passed since the report or, for predecessors,
     * since the process joined.
     */
    record Expire(String process, long session, boolean forPredecessors, long reportNumber)
            implements BudgetCommand {}

    /**
     * Reply to {@link Renew}: all grants of the process and, for each engine, the sessions that its
     * earlier incarnations may have left running.
     */
    record RenewalReply(
            long reportNumber, long grantVersion, List<Grant> grants, List<EngineUsage> usages) {
        /** Copies the lists. */
        public RenewalReply {
            grants = List.copyOf(grants);
            usages = List.copyOf(usages);
        }

        /** Encodes the reply for {@link #decode}. */
        public byte[] encode() {
            return BudgetCommandCodec.encodeReply(this);
        }

        /**
         * Decodes the result of {@link #encode}.
         *
         * @throws calicostream.cluster.ClusterException.Malformed if the bytes are not a valid
         *     reply
         */
        public static RenewalReply decode(byte[] bytes) {
            return BudgetCommandCodec.decodeReply(bytes);
        }
    }

    /** Encodes the command for {@link #decode}. */
    default byte[] encode() {
        return BudgetCommandCodec.encode(this);
    }

    /**
     * Decodes the result of {@link #encode}.
     *
     * @throws calicostream.cluster.ClusterException.Malformed if the bytes are not a valid command
     */
    static BudgetCommand decode(byte[] bytes) {
        return BudgetCommandCodec.decode(bytes);
    }
}
