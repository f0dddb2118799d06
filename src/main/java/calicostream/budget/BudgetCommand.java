// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.cluster.BinaryCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * What the grant machine is told; immutable. Who sent a command is the cluster's to say: a process
 * is the session it joined under, and only the leader may expire. Encoded with a version, a kind
 * and {@link FieldBuffer}; a list is bounded by the bytes that are there.
 */
public sealed interface BudgetCommand {
    /** The longest name of a process, tenant, engine or pool, in bytes. */
    int MAX_NAME_BYTES = 256;

    /** More than any engine has, and the most sessions that any number here says. */
    int UNKNOWN_SESSIONS = 1_000_000;

    /** A process starts: whatever an earlier start of it holds is no longer its own. */
    record Join(String process) implements BudgetCommand {}

    /**
     * A process stops as planned: nothing of it runs at any engine, nor will before it joins again.
     */
    record Leave() implements BudgetCommand {}

    /**
     * A process's report, which asks for its grants anew.
     *
     * @param number grows with each report of a session
     * @param version of the grants that it goes by; 0 if it goes by none
     */
    record Renew(
            long reportNumber,
            long grantVersion,
            List<EngineUsage> usages,
            List<TenantDemand> demands)
            implements BudgetCommand {
        public Renew {
            usages = List.copyOf(usages);
            demands = List.copyOf(demands);
        }
    }

    /**
     * What a process has at an engine.
     *
     * @param sessions its own, those on their way included
     * @param left the most that its earlier starts may have left running; {@link #UNKNOWN} if it
     *     does not know
     */
    record EngineUsage(String engine, long incarnation, int sessions, int orphaned) {}

    /** Demand of a tenant for an engine, as estimated at the process. */
    record TenantDemand(String engine, String tenant, int sessions) {}

    /**
     * The arbiter's division, or a part of it: shares that are not named stay. Taken whole or
     * refused whole.
     */
    record Allocate(long fencingToken, List<Grant> grants) implements BudgetCommand {
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

    /** An engine is there, was replaced (a larger incarnation), or its cap has changed. */
    record UpdateEngine(String engine, long incarnation, String pool, int cap)
            implements BudgetCommand {}

    /** An engine is no more. */
    record RemoveEngine(String engine, long incarnation) implements BudgetCommand {}

    /**
     * An engine's own count of a process's sessions.
     *
     * @param session that the process has joined under
     * @param former the count is of all earlier starts of the process, not of this one
     * @param seen index up to which the asker knew this machine before it asked the engine
     * @param closed the engine had no connection left from those starts, so nothing can be on its
     *     way
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
     * The leader has counted a whole lease since that report, or, for former starts, since the
     * process joined.
     */
    record Expire(String process, long session, boolean ofPredecessors, long reportNumber)
            implements BudgetCommand {}

    /**
     * Answer to {@link Renew}: all that is granted to the process, and what its former starts may
     * have left running.
     */
    record RenewalReply(
            long reportNumber, long grantVersion, List<Grant> grants, List<EngineUsage> usages) {
        public RenewalReply {
            grants = List.copyOf(grants);
            usages = List.copyOf(usages);
        }

        public byte[] encode() {
            BinaryCodec.Writer out =
                    new BinaryCodec.Writer().u8(1).i64(reportNumber).i64(grantVersion);
            put(out, grants);
            putUses(out, usages);
            return out.toByteArray();
        }

        public static RenewalReply decode(byte[] bytes) {
            BinaryCodec.Reader in = new BinaryCodec.Reader("grants", bytes);
            in.requireVersion(1);
            RenewalReply grants = new RenewalReply(in.i64(), in.i64(), sharesOf(in), usesOf(in));
            in.requireEnd();
            return grants;
        }
    }

    default byte[] encode() {
        BinaryCodec.Writer out = new BinaryCodec.Writer().u8(1);
        if (this instanceof Join join) {
            out.u8(1).text(join.process);
        } else if (this instanceof Leave) {
            out.u8(2);
        } else if (this instanceof Renew renew) {
            out.u8(3).i64(renew.reportNumber).i64(renew.grantVersion);
            putUses(out, renew.usages);
            out.i32(renew.demands.size());
            renew.demands.forEach(
                    want -> out.text(want.engine).text(want.tenant).i32(want.sessions));
        } else if (this instanceof Allocate divide) {
            out.u8(4).i64(divide.fencingToken);
            put(out, divide.grants);
        } else if (this instanceof UpdateEngine engine) {
            out.u8(5).text(engine.engine).i64(engine.incarnation).text(engine.pool).i32(engine.cap);
        } else if (this instanceof RemoveEngine gone) {
            out.u8(6).text(gone.engine).i64(gone.incarnation);
        } else if (this instanceof EngineCount count) {
            out.u8(7)
                    .text(count.engine)
                    .i64(count.incarnation)
                    .text(count.process)
                    .i64(count.session)
                    .u8(count.ofPredecessors ? 1 : 0)
                    .i64(count.knownIndex)
                    .i32(count.running)
                    .u8(count.allConnectionsClosed ? 1 : 0);
        } else if (this instanceof Expire expire) {
            out.u8(8)
                    .text(expire.process)
                    .i64(expire.session)
                    .u8(expire.ofPredecessors ? 1 : 0)
                    .i64(expire.reportNumber);
        }
        return out.toByteArray();
    }

    static BudgetCommand decode(byte[] bytes) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("budget command", bytes);
        in.requireVersion(1);
        int kind = in.u8();
        BudgetCommand command =
                switch (kind) {
                    case 1 -> new Join(in.text(MAX_NAME_BYTES));
                    case 2 -> new Leave();
                    case 3 ->
                            new Renew(
                                    in.i64(),
                                    in.i64(),
                                    usesOf(in),
                                    list(
                                            in,
                                            12,
                                            () ->
                                                    new TenantDemand(
                                                            in.text(MAX_NAME_BYTES),
                                                            in.text(MAX_NAME_BYTES),
                                                            sessions(in))));
                    case 4 -> new Allocate(in.i64(), sharesOf(in));
                    case 5 ->
                            new UpdateEngine(
                                    in.text(MAX_NAME_BYTES),
                                    in.i64(),
                                    in.text(MAX_NAME_BYTES),
                                    sessions(in));
                    case 6 -> new RemoveEngine(in.text(MAX_NAME_BYTES), in.i64());
                    case 7 ->
                            new EngineCount(
                                    in.text(MAX_NAME_BYTES),
                                    in.i64(),
                                    in.text(MAX_NAME_BYTES),
                                    in.i64(),
                                    in.u8() == 1,
                                    in.i64(),
                                    sessions(in),
                                    in.u8() == 1);
                    case 8 -> new Expire(in.text(MAX_NAME_BYTES), in.i64(), in.u8() == 1, in.i64());
                    default -> throw in.malformed("kind " + kind);
                };
        in.requireEnd();
        return command;
    }

    private static void put(BinaryCodec.Writer out, List<Grant> shares) {
        out.i32(shares.size());
        shares.forEach(
                share ->
                        out.text(share.process)
                                .i64(share.session)
                                .text(share.engine)
                                .i64(share.incarnation)
                                .text(share.tenant)
                                .i32(share.sessions));
    }

    private static List<Grant> sharesOf(BinaryCodec.Reader in) {
        return list(
                in,
                32,
                () ->
                        new Grant(
                                in.text(MAX_NAME_BYTES),
                                in.i64(),
                                in.text(MAX_NAME_BYTES),
                                in.i64(),
                                in.text(MAX_NAME_BYTES),
                                sessions(in)));
    }

    private static void putUses(BinaryCodec.Writer out, List<EngineUsage> uses) {
        out.i32(uses.size());
        uses.forEach(
                use ->
                        out.text(use.engine)
                                .i64(use.incarnation)
                                .i32(use.sessions)
                                .i32(use.orphaned));
    }

    private static List<EngineUsage> usesOf(BinaryCodec.Reader in) {
        return list(
                in,
                20,
                () ->
                        new EngineUsage(
                                in.text(MAX_NAME_BYTES), in.i64(), sessions(in), sessions(in)));
    }

    private static int sessions(BinaryCodec.Reader in) {
        int sessions = in.i32();
        if (sessions < 0 || sessions > UNKNOWN_SESSIONS) {
            throw in.malformed(sessions + " sessions");
        }
        return sessions;
    }

    private static <T> List<T> list(BinaryCodec.Reader in, int each, Supplier<T> read) {
        int count = in.count(each);
        List<T> list = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            list.add(read.get());
        }
        return list;
    }
}
