// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import static calicostream.budget.BudgetCommand.MAX_NAME_BYTES;
import static calicostream.budget.BudgetCommand.MAX_SESSIONS;

import calicostream.budget.BudgetCommand.Allocate;
import calicostream.budget.BudgetCommand.EngineCount;
import calicostream.budget.BudgetCommand.EngineUsage;
import calicostream.budget.BudgetCommand.Expire;
import calicostream.budget.BudgetCommand.Grant;
import calicostream.budget.BudgetCommand.Join;
import calicostream.budget.BudgetCommand.Leave;
import calicostream.budget.BudgetCommand.RemoveEngine;
import calicostream.budget.BudgetCommand.Renew;
import calicostream.budget.BudgetCommand.RenewalReply;
import calicostream.budget.BudgetCommand.TenantDemand;
import calicostream.budget.BudgetCommand.UpdateEngine;
import calicostream.cluster.BinaryCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * The binary encoding of budget commands and replies: format version, kind (commands only), then
 * the fields in declaration order. The length of a list is checked against the remaining bytes
 * before it is read. Stateless.
 */
final class BudgetCommandCodec {
    private static final int FORMAT_VERSION = 1;

    private static final int KIND_JOIN = 1;
    private static final int KIND_LEAVE = 2;
    private static final int KIND_RENEW = 3;
    private static final int KIND_ALLOCATE = 4;
    private static final int KIND_UPDATE_ENGINE = 5;
    private static final int KIND_REMOVE_ENGINE = 6;
    private static final int KIND_ENGINE_COUNT = 7;
    private static final int KIND_EXPIRE = 8;

    /** The smallest encoded size of an element, by kind of list. */
    private static final int MIN_USAGE_BYTES = 20;

    private static final int MIN_DEMAND_BYTES = 12;
    private static final int MIN_GRANT_BYTES = 32;

    private BudgetCommandCodec() {}

    static byte[] encode(BudgetCommand command) {
        BinaryCodec.Writer out = new BinaryCodec.Writer().u8(FORMAT_VERSION);
        if (command instanceof Join join) {
            out.u8(KIND_JOIN).text(join.process());
        } else if (command instanceof Leave) {
            out.u8(KIND_LEAVE);
        } else if (command instanceof Renew renew) {
            writeRenew(out, renew);
        } else if (command instanceof Allocate allocate) {
            out.u8(KIND_ALLOCATE).i64(allocate.fencingToken());
            writeGrants(out, allocate.grants());
        } else if (command instanceof UpdateEngine update) {
            out.u8(KIND_UPDATE_ENGINE)
                    .text(update.engine())
                    .i64(update.incarnation())
                    .text(update.pool())
                    .i32(update.cap());
        } else if (command instanceof RemoveEngine remove) {
            out.u8(KIND_REMOVE_ENGINE).text(remove.engine()).i64(remove.incarnation());
        } else if (command instanceof EngineCount count) {
            writeEngineCount(out, count);
        } else if (command instanceof Expire expire) {
            out.u8(KIND_EXPIRE).text(expire.process()).i64(expire.session());
            writeFlag(out, expire.forPredecessors());
            out.i64(expire.reportNumber());
        }
        return out.toByteArray();
    }

    static BudgetCommand decode(byte[] bytes) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("budget command", bytes);
        in.requireVersion(FORMAT_VERSION);
        int kind = in.u8();
        BudgetCommand command =
                switch (kind) {
                    case KIND_JOIN -> new Join(readName(in));
                    case KIND_LEAVE -> new Leave();
                    case KIND_RENEW ->
                            new Renew(in.i64(), in.i64(), readUsages(in), readDemands(in));
                    case KIND_ALLOCATE -> new Allocate(in.i64(), readGrants(in));
                    case KIND_UPDATE_ENGINE ->
                            new UpdateEngine(
                                    readName(in), in.i64(), readName(in), readSessions(in));
                    case KIND_REMOVE_ENGINE -> new RemoveEngine(readName(in), in.i64());
                    case KIND_ENGINE_COUNT -> readEngineCount(in);
                    case KIND_EXPIRE -> new Expire(readName(in), in.i64(), readFlag(in), in.i64());
                    default -> throw in.malformed("kind " + kind);
                };
        in.requireEnd();
        return command;
    }

    static byte[] encodeReply(RenewalReply reply) {
        BinaryCodec.Writer out =
                new BinaryCodec.Writer()
                        .u8(FORMAT_VERSION)
                        .i64(reply.reportNumber())
                        .i64(reply.grantVersion());
        writeGrants(out, reply.grants());
        writeUsages(out, reply.usages());
        return out.toByteArray();
    }

    static RenewalReply decodeReply(byte[] bytes) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("grants", bytes);
        in.requireVersion(FORMAT_VERSION);
        RenewalReply reply = new RenewalReply(in.i64(), in.i64(), readGrants(in), readUsages(in));
        in.requireEnd();
        return reply;
    }

    private static void writeRenew(BinaryCodec.Writer out, Renew renew) {
        out.u8(KIND_RENEW).i64(renew.reportNumber()).i64(renew.grantVersion());
        writeUsages(out, renew.usages());
        out.i32(renew.demands().size());
        for (TenantDemand demand : renew.demands()) {
            out.text(demand.engine()).text(demand.tenant()).i32(demand.sessions());
        }
    }

    private static void writeEngineCount(BinaryCodec.Writer out, EngineCount count) {
        out.u8(KIND_ENGINE_COUNT)
                .text(count.engine())
                .i64(count.incarnation())
                .text(count.process())
                .i64(count.session());
        writeFlag(out, count.forPredecessors());
        out.i64(count.appliedIndex()).i32(count.running());
        writeFlag(out, count.allConnectionsClosed());
    }

    private static EngineCount readEngineCount(BinaryCodec.Reader in) {
        return new EngineCount(
                readName(in),
                in.i64(),
                readName(in),
                in.i64(),
                readFlag(in),
                in.i64(),
                readSessions(in),
                readFlag(in));
    }

    private static void writeGrants(BinaryCodec.Writer out, List<Grant> grants) {
        out.i32(grants.size());
        for (Grant grant : grants) {
            out.text(grant.process())
                    .i64(grant.session())
                    .text(grant.engine())
                    .i64(grant.incarnation())
                    .text(grant.tenant())
                    .i32(grant.sessions());
        }
    }

    private static List<Grant> readGrants(BinaryCodec.Reader in) {
        return readList(
                in,
                MIN_GRANT_BYTES,
                () ->
                        new Grant(
                                readName(in),
                                in.i64(),
                                readName(in),
                                in.i64(),
                                readName(in),
                                readSessions(in)));
    }

    private static void writeUsages(BinaryCodec.Writer out, List<EngineUsage> usages) {
        out.i32(usages.size());
        for (EngineUsage usage : usages) {
            out.text(usage.engine())
                    .i64(usage.incarnation())
                    .i32(usage.sessions())
                    .i32(usage.orphaned());
        }
    }

    private static List<EngineUsage> readUsages(BinaryCodec.Reader in) {
        return readList(
                in,
                MIN_USAGE_BYTES,
                () -> new EngineUsage(readName(in), in.i64(), readSessions(in), readSessions(in)));
    }

    private static List<TenantDemand> readDemands(BinaryCodec.Reader in) {
        return readList(
                in,
                MIN_DEMAND_BYTES,
                () -> new TenantDemand(readName(in), readName(in), readSessions(in)));
    }

    private static String readName(BinaryCodec.Reader in) {
        return in.text(MAX_NAME_BYTES);
    }

    private static int readSessions(BinaryCodec.Reader in) {
        int sessions = in.i32();
        if (sessions < 0 || sessions > MAX_SESSIONS) {
            throw in.malformed(sessions + " sessions");
        }
        return sessions;
    }

    private static void writeFlag(BinaryCodec.Writer out, boolean flag) {
        out.u8(flag ? 1 : 0);
    }

    private static boolean readFlag(BinaryCodec.Reader in) {
        return in.u8() == 1;
    }

    private static <T> List<T> readList(
            BinaryCodec.Reader in, int minElementBytes, Supplier<T> readElement) {
        int count = in.count(minElementBytes);
        List<T> list = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            list.add(readElement.get());
        }
        return list;
    }
}
