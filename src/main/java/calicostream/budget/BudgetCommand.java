// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.List;

/**
 * A command to the {@link GrantStateMachine}; immutable. The cluster says who sent it: a process is
 * the session that it joined under, and only the leader may expire grants. The encoding is in
 * {@link BudgetCommandCodec}.
 */
public sealed interface BudgetCommand {
    /** The longest name of a process, tenant, engine or pool, in bytes. */
    int MAX_NAME_BYTES = 256;

    /** The most sessions that any field of a command states. */
    int MAX_SESSIONS = 1_000_000;

    /** Stated where the number of sessions is not known: more than any engine has. */
    int UNKNOWN_SESSIONS = MAX_SESSIONS;

    /**
     * A process starts under a new cluster session. Whatever an earlier incarnation of it holds
     * becomes orphaned.
     */
    record Join(String process) implements BudgetCommand {}

    /**
     * A process shuts down gracefully: nothing of it runs at any engine, nor will before it joins
     * again.
     */
    record Leave() implements BudgetCommand {}

    /**
     * A process reports its usage and demand, which renews the lease of its grants.
     *
     * @param reportNumber grows with each report of a session
     * @param grantVersion version of the grants that the process uses; 0 if it uses none
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
     * @param sessions of the process itself, those sent but not yet acknowledged included
     * @param orphaned the most that its earlier incarnations may have left running; {@link
     *     #UNKNOWN_SESSIONS} if it does not know
     */
    record EngineUsage(String engine, long incarnation, int sessions, int orphaned) {}

    /** Demand of a tenant for an engine, as the process estimates it. */
    record TenantDemand(String engine, String tenant, int sessions) {}

    /**
     * The coordinator sets grants; grants that are not listed stay. Applied as a whole or refused
     * as a whole.
     *
     * @param fencingToken of the coordinator's lease
     */
    record Allocate(long fencingToken, List<Grant> grants) implements BudgetCommand {
        /** Copies the list. */
        public Allocate {
            grants = List.copyOf(grants);
        }
    }

    /** Sessions of a tenant at an engine for the process that joined under that session. */
    record Grant(
            String process,
            long session,
            String engine,
            long incarnation,
            String tenant,
            int sessions) {}

    /** An engine was added, was replaced (a larger incarnation), or its cap has changed. */
    record UpdateEngine(String engine, long incarnation, String pool, int cap)
            implements BudgetCommand {}

    /** An engine was removed. */
    record RemoveEngine(String engine, long incarnation) implements BudgetCommand {}

    /**
     * An engine's own count of a process's sessions.
     *
     * @param session that the process has joined under
     * @param ofPredecessors the count is of all earlier incarnations of the process, not of the
     *     present one
     * @param knownIndex index up to which the sender knew this state machine before it asked the
     *     engine
     * @param allConnectionsClosed the engine had no connection left from those incarnations, so
     *     nothing of theirs can still be in transit
     */
    record EngineCount(
            String engine,
            long incarnation,
            String process,
            long session,
            boolean ofPredecessors,
            long knownIndex,
            int running,
            boolean allConnectionsClosed)
            implements BudgetCommand {}

    /**
     * The leader has counted a whole lease time since that report, or, for predecessors, since the
     * process joined.
     */
    record Expire(String process, long session, boolean ofPredecessors, long reportNumber)
            implements BudgetCommand {}

    /**
     * Reply to {@link Renew}: everything that is granted to the process, and for each engine what
     * its earlier incarnations may have left running.
     */
    record RenewalReply(
            long reportNumber, long grantVersion, List<Grant> grants, List<EngineUsage> usages) {
        /** Copies the lists. */
        public RenewalReply {
            grants = List.copyOf(grants);
            usages = List.copyOf(usages);
        }

        /** The reply's bytes, which {@link #decode} reads. */
        public byte[] encode() {
            return BudgetCommandCodec.encodeReply(this);
        }

        /**
         * Reads what {@link #encode} wrote.
         *
         * @throws calicostream.cluster.ClusterException.Malformed if the bytes are no reply
         */
        public static RenewalReply decode(byte[] bytes) {
            return BudgetCommandCodec.decodeReply(bytes);
        }
    }

    /** The command's bytes, which {@link #decode} reads. */
    default byte[] encode() {
        return BudgetCommandCodec.encode(this);
    }

    /**
     * Reads what {@link #encode} wrote.
     *
     * @throws calicostream.cluster.ClusterException.Malformed if the bytes are no command
     */
    static BudgetCommand decode(byte[] bytes) {
        return BudgetCommandCodec.decode(bytes);
    }
}
