// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.core.Front;
import calicostream.flight.ArrowRows;
import calicostream.flight.state.Effects;
import calicostream.flight.state.Handles;
import calicostream.flight.state.Transactions.Purpose;
import calicostream.flight.state.Transactions.Txn;
import calicostream.flight.wire.Answers;
import calicostream.flight.wire.FlightWire;
import calicostream.flight.wire.Frame;
import calicostream.flight.wire.Work;
import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import io.grpc.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.FlightSqlProducer.Schemas;
import org.apache.arrow.flight.sql.impl.FlightSql;

/**
 * GetFlightInfo, GetSchema and DoGet: statements are noted down under a ticket, and run when it is
 * fetched, once.
 */
final class Queries {
    /**
     * What a ticket stands for. {@code tickets}: of an engine that has run it already; else empty,
     * and it runs anew.
     */
    record Noted(
            ByteString command,
            String sql,
            String queryClass,
            ByteString transaction,
            long engine,
            List<ByteString> tickets,
            int losses) {}

    /** A result under way, by its ticket. */
    private record Running(String owner, Outlet outlet, Runnable stop) {}

    private static final Status PART_LOST =
            Status.NOT_FOUND.withDescription(
                    "the engine that had this part is lost; run the statement again");
    private final Desk desk;
    private final TransactionDesk transactions;
    private final Statements statements;
    private final Catalogs catalogs;
    private final SqlInfo info;
    private final Handles<Noted> tickets;
    private final Map<Long, Integer> losses = new HashMap<>(); // of an engine, how often
    private final Map<String, Running> running = new HashMap<>();
    private final Set<Outlet> outlets = new java.util.LinkedHashSet<>();

    Queries(
            Desk desk,
            TransactionDesk transactions,
            Statements statements,
            Catalogs catalogs,
            SqlInfo info) {
        this.desk = desk;
        this.transactions = transactions;
        this.statements = statements;
        this.catalogs = catalogs;
        this.info = info;
        tickets =
                new Handles<>(
                        desk::name,
                        desk.config.statements(),
                        desk.config.statements(),
                        desk.config.ticketKeptUs());
    }

    // ---- GetFlightInfo, GetSchema
    // -----------------------------------------------------------------------
    void info(Exchange<Flight.FlightInfo> call, Flight.FlightDescriptor descriptor) {
        ByteString bytes = Commands.command(descriptor);
        Any command = Commands.parse(bytes);
        String name = Commands.name(command);
        if (Commands.METADATA.containsKey(name)) {
            catalogued(name);
            call.reply(
                    Commands.info(descriptor, FlightWire.schema(metadataSchema(command, name)))
                            .addEndpoint(Commands.endpoint(bytes))
                            .build());
        } else if (name.equals("CommandPreparedStatementQuery")) {
            Statements.Entry statement =
                    statements.find(
                            call,
                            Commands.unpack(command, FlightSql.CommandPreparedStatementQuery.class)
                                    .getPreparedStatementHandle());
            if (statement != null) {
                call.reply(
                        Commands.info(descriptor, statement.resultSchema)
                                .addEndpoint(Commands.endpoint(bytes))
                                .build());
            }
        } else {
            noted(call, command, name, noted -> plan(call, descriptor, noted));
        }
    }

    /** What the command says, checked; a plan is looked at for whether engines take any. */
    void noted(
            Exchange<?> call, Any command, String name, java.util.function.Consumer<Noted> then) {
        if (name.equals("CommandStatementQuery")) {
            FlightSql.CommandStatementQuery query =
                    Commands.unpack(command, FlightSql.CommandStatementQuery.class);
            if (query.getQuery().isBlank()) {
                throw Commands.invalid("an empty statement");
            }
            then.accept(
                    new Noted(
                            command.toByteString(),
                            query.getQuery(),
                            classNamed(call),
                            query.getTransactionId(),
                            0,
                            List.of(),
                            0));
        } else if (name.equals("CommandStatementSubstraitPlan")) {
            FlightSql.CommandStatementSubstraitPlan plan =
                    Commands.unpack(command, FlightSql.CommandStatementSubstraitPlan.class);
            info.ifSubstrait(
                    call,
                    () ->
                            then.accept(
                                    new Noted(
                                            command.toByteString(),
                                            "",
                                            classNamed(call),
                                            plan.getTransactionId(),
                                            0,
                                            List.of(),
                                            0)));
        } else {
            throw Commands.invalid(name + " is no query");
        }
    }

    private String classNamed(Exchange<?> call) {
        if (call.caller.queryClass != null && !desk.classNames().contains(call.caller.queryClass)) {
            throw Commands.invalid("no class '" + call.caller.queryClass + "'");
        }
        return call.caller.queryClass;
    }

    private void catalogued(String name) {
        if (desk.engines == null && !name.equals("CommandGetSqlInfo")) {
            throw Words.unsupported("these engines tell nothing of their catalogs")
                    .asRuntimeException();
        }
    }

    private static org.apache.arrow.vector.types.pojo.Schema metadataSchema(
            Any command, String name) {
        boolean tables = name.equals("CommandGetTables");
        return tables
                        && !Commands.unpack(command, FlightSql.CommandGetTables.class)
                                .getIncludeSchema()
                ? Schemas.GET_TABLES_SCHEMA_NO_SCHEMA
                : Commands.METADATA.get(name);
    }

    private void plan(
            Exchange<Flight.FlightInfo> call, Flight.FlightDescriptor descriptor, Noted noted) {
        boolean inTransaction = !noted.transaction.isEmpty();
        if (desk.engines == null) {
            if (inTransaction) {
                call.fail(Words.UNKNOWN_HANDLE);
            } else {
                reply(call, descriptor, ByteString.EMPTY, noted);
            }
        } else if (inTransaction) {
            describeWithin(call, descriptor, noted);
        } else if (desk.config.severalEndpoints()) {
            planParts(call, descriptor, noted);
        } else if (desk.config.askSchema()) {
            catalogs.schema(
                    call,
                    noted.command,
                    told -> {
                        if (told.status() != null
                                && told.status().getCode() != Status.Code.INTERNAL) {
                            call.fail(
                                    told.status(),
                                    told.stayAwayMs()); // It would not run now, or never: no
                            // use to wait again.
                        } else {
                            reply(
                                    call,
                                    descriptor,
                                    told.status() == null
                                            ? (ByteString) told.answer()
                                            : ByteString.EMPTY,
                                    noted);
                        }
                    });
        } else {
            reply(call, descriptor, ByteString.EMPTY, noted);
        }
    }

    private void describeWithin(
            Exchange<Flight.FlightInfo> call, Flight.FlightDescriptor descriptor, Noted noted) {
        Txn<ByteString> txn = transactions.use(call, noted.transaction, Purpose.STATEMENT);
        if (txn != null) {
            Reply answer =
                    new Reply.To<>(call) {
                        @Override
                        public void served(Object result) {
                            reply(call, descriptor, ((Answers.Described) result).schema(), noted);
                        }

                        @Override
                        public void word(Status status) {
                            if (status.getCode() == Status.Code.UNIMPLEMENTED) {
                                reply(call, descriptor, ByteString.EMPTY, noted);
                            } else {
                                super.word(status);
                            }
                        }
                    };
            desk.submit(
                    call,
                    desk.metadataClass(),
                    noted.sql,
                    new Work.Describe(within(noted, txn)),
                    txn.engine,
                    transactions.within(txn, true, answer));
        }
    }

    /** The command as the transaction's engine knows it. */
    private static ByteString within(Noted noted, Txn<ByteString> txn) {
        Any any = Commands.parse(noted.command);
        return Commands.name(any).equals("CommandStatementQuery")
                ? FlightWire.packed(
                        Commands.unpack(any, FlightSql.CommandStatementQuery.class).toBuilder()
                                .setTransactionId(txn.handle)
                                .build())
                : FlightWire.packed(
                        Commands.unpack(any, FlightSql.CommandStatementSubstraitPlan.class)
                                .toBuilder()
                                .setTransactionId(txn.handle)
                                .build());
    }

    /** The engine's own endpoints, each under a ticket of ours. */
    private void planParts(
            Exchange<Flight.FlightInfo> call, Flight.FlightDescriptor descriptor, Noted noted) {
        int queryClass = desk.classOf(call, noted.queryClass, desk.config.queryClass());
        if (queryClass < 0 || desk.spec(queryClass).load()) {
            throw Commands.invalid("a load is an update");
        }
        desk.submit(
                call,
                queryClass,
                noted.sql,
                new Work.Plan(noted.command),
                0,
                new Reply.To<>(call) {
                    @Override
                    public void served(Object result) {
                        Answers.Planned planned = (Answers.Planned) result;
                        Flight.FlightInfo.Builder out =
                                planned.info().toBuilder()
                                        .setFlightDescriptor(descriptor)
                                        .clearEndpoint();
                        planned.info()
                                .getEndpointList()
                                .forEach(
                                        each ->
                                                out.addEndpoint(
                                                        ticket(
                                                                call.owner,
                                                                ByteString.EMPTY,
                                                                noted,
                                                                planned.engine(),
                                                                List.of(
                                                                        each.getTicket()
                                                                                .getTicket()))));
                        call.reply(out.build());
                    }
                });
    }

    private void reply(
            Exchange<Flight.FlightInfo> call,
            Flight.FlightDescriptor descriptor,
            ByteString schema,
            Noted noted) {
        call.reply(
                Commands.info(descriptor, schema).addEndpoint(ticket(call.owner, noted)).build());
    }

    /** An endpoint whose ticket serves once. */
    Flight.FlightEndpoint ticket(String owner, Noted noted) {
        StringBuilder name = new StringBuilder();
        tickets.put(desk.now(), owner, noted, name);
        ByteString ticket =
                FlightWire.packed(
                        FlightSql.TicketStatementQuery.newBuilder()
                                .setStatementHandle(ByteString.copyFromUtf8(name.toString()))
                                .build());
        return Commands.endpoint(ticket)
                .setExpirationTime(Commands.in(desk.config.ticketKeptUs()))
                .build();
    }

    void schema(Exchange<Flight.SchemaResult> call, Flight.FlightDescriptor descriptor) {
        ByteString bytes = Commands.command(descriptor);
        Any command = Commands.parse(bytes);
        String name = Commands.name(command);
        if (Commands.METADATA.containsKey(name)) {
            catalogued(name);
            call.reply(schemaOf(FlightWire.schema(metadataSchema(command, name))));
        } else if (name.equals("CommandPreparedStatementQuery")) {
            Statements.Entry statement =
                    statements.find(
                            call,
                            Commands.unpack(command, FlightSql.CommandPreparedStatementQuery.class)
                                    .getPreparedStatementHandle());
            if (statement != null) {
                call.reply(schemaOf(statement.resultSchema));
            }
        } else {
            noted(
                    call,
                    command,
                    name,
                    noted -> {
                        if (desk.engines == null) {
                            call.fail(Words.unsupported("these engines tell no schemas"));
                        } else if (noted.transaction.isEmpty()) {
                            catalogs.schema(
                                    call,
                                    noted.command,
                                    told -> {
                                        if (told.status() != null) {
                                            call.fail(told.status(), told.stayAwayMs());
                                        } else {
                                            call.reply(schemaOf((ByteString) told.answer()));
                                        }
                                    });
                        } else {
                            Txn<ByteString> txn =
                                    transactions.use(call, noted.transaction, Purpose.STATEMENT);
                            if (txn != null) {
                                desk.submit(
                                        call,
                                        desk.metadataClass(),
                                        noted.sql,
                                        new Work.Describe(within(noted, txn)),
                                        txn.engine,
                                        transactions.within(
                                                txn,
                                                true,
                                                new Reply.To<>(call) {
                                                    @Override
                                                    public void served(Object result) {
                                                        call.reply(
                                                                schemaOf(
                                                                        ((Answers.Described) result)
                                                                                .schema()));
                                                    }
                                                }));
                            }
                        }
                    });
        }
    }

    private static Flight.SchemaResult schemaOf(ByteString schema) {
        return Flight.SchemaResult.newBuilder().setSchema(schema).build();
    }

    // ---- DoGet
    // ------------------------------------------------------------------------------------------
    void get(Exchange<Frame> call, Outlet outlet, Flight.Ticket ticket) {
        Any command = Commands.parse(ticket.getTicket());
        String name = Commands.name(command);
        outlets.add(outlet);
        call.atEnd(() -> outlets.remove(outlet));
        if (name.equals("TicketStatementQuery")) {
            String handle =
                    Commands.unpack(command, FlightSql.TicketStatementQuery.class)
                            .getStatementHandle()
                            .toStringUtf8();
            // Taken out at once: a ticket fetched again, by a client's own retry, must not run the
            // statement again.
            Noted noted = tickets.remove(desk.now(), call.owner, handle);
            if (noted == null) {
                outlet.fail(Words.UNKNOWN_HANDLE, 0);
            } else {
                run(outlet, handle, noted);
            }
        } else if (name.equals("CommandPreparedStatementQuery")) {
            prepared(
                    outlet,
                    Commands.unpack(command, FlightSql.CommandPreparedStatementQuery.class)
                            .getPreparedStatementHandle());
        } else if (name.equals("CommandGetSqlInfo")) {
            info.frames(
                    call,
                    Commands.unpack(command, FlightSql.CommandGetSqlInfo.class),
                    told -> tell(outlet, told));
        } else if (Commands.METADATA.containsKey(name)) {
            catalogued(name);
            catalogs.frames(call, ticket.getTicket(), told -> tell(outlet, told));
        } else {
            throw Commands.invalid(name + " is no ticket");
        }
    }

    @SuppressWarnings("unchecked")
    private static void tell(Outlet outlet, Catalogs.Told told) {
        if (told.status() != null) {
            outlet.fail(told.status(), told.stayAwayMs());
        } else {
            outlet.send((List<Frame>) told.answer(), () -> {});
        }
    }

    private int queryClass(Exchange<?> call, String noted) {
        int queryClass = desk.classOf(call, noted, desk.config.queryClass());
        if (queryClass < 0) {
            throw Commands.invalid("no class '" + call.caller.queryClass + "'");
        }
        if (desk.spec(queryClass).load()) {
            throw Commands.invalid("a load is an update");
        }
        return queryClass;
    }

    private void run(Outlet outlet, String handle, Noted noted) {
        Exchange<Frame> call = outlet.call;
        int queryClass = queryClass(call, noted.queryClass);
        if (!noted.transaction.isEmpty()) {
            Txn<ByteString> txn = transactions.use(call, noted.transaction, Purpose.STATEMENT);
            if (txn != null) {
                submit(
                        outlet,
                        handle,
                        queryClass,
                        noted.sql,
                        new Work.Query(within(noted, txn), null, true),
                        txn.engine,
                        transactions.within(txn, true, new Result(outlet)));
            }
        } else if (noted.tickets.isEmpty() || isLost(noted) && !noted.command.isEmpty()) {
            submit(
                    outlet,
                    handle,
                    queryClass,
                    noted.sql,
                    new Work.Query(noted.command, null, true),
                    0,
                    new Result(outlet));
        } else if (isLost(noted)) {
            outlet.fail(PART_LOST, 0);
        } else { // An engine has it; where that engine is lost, what can be run anew is.
            Reply reply =
                    noted.command.isEmpty()
                            ? new Part(outlet)
                            : new Result(outlet) {
                                @Override
                                public void refused(long stayAwayMs) {
                                    anew();
                                }

                                @Override
                                public void failed(Front.Failure why) {
                                    if (why == Front.Failure.ENGINE) {
                                        anew();
                                    } else {
                                        super.failed(why);
                                    }
                                }

                                private void anew() {
                                    submit(
                                            outlet,
                                            handle,
                                            queryClass,
                                            noted.sql,
                                            new Work.Query(noted.command, null, true),
                                            0,
                                            new Result(outlet));
                                }
                            };
            submit(
                    outlet,
                    handle,
                    queryClass,
                    noted.sql,
                    new Work.Fetch(noted.tickets, true),
                    noted.engine,
                    reply);
        }
    }

    private void prepared(Outlet outlet, ByteString handle) {
        Exchange<Frame> call = outlet.call;
        Statements.Entry statement = statements.find(call, handle);
        if (statement == null) {
            return;
        }
        int queryClass = queryClass(call, null);
        List<Frame> rows = statement.core.bound();
        String fault = Statements.fault(statement, rows);
        if (fault != null) {
            throw Commands.invalid(fault);
        }
        Work work = new Work.Query(ByteString.EMPTY, statement.bound(rows), true);
        if (statement.transaction.isEmpty()) {
            submit(
                    outlet,
                    handle.toStringUtf8(),
                    queryClass,
                    statement.sql,
                    work,
                    0,
                    new Result(outlet));
        } else {
            Txn<ByteString> txn = transactions.use(call, statement.transaction, Purpose.STATEMENT);
            if (txn != null) {
                submit(
                        outlet,
                        handle.toStringUtf8(),
                        queryClass,
                        statement.sql,
                        work,
                        txn.engine,
                        transactions.within(txn, true, new Result(outlet)));
            }
        }
    }

    private void submit(
            Outlet outlet,
            String ticket,
            int queryClass,
            String sql,
            Work work,
            long pinned,
            Reply reply) {
        Exchange<Frame> call = outlet.call;
        Desk.Submitted submitted = desk.submit(call, queryClass, sql, work, pinned, reply);
        Running entry = new Running(call.owner, outlet, submitted::abandon);
        running.put(ticket, entry);
        call.atEnd(() -> running.remove(ticket, entry));
        if (Effects.changesCatalog(sql)) {
            catalogs.changed("");
        }
    }

    private int losses(long engine) {
        return losses.getOrDefault(engine, 0);
    }

    private boolean isLost(Noted noted) {
        return losses(noted.engine) != noted.losses;
    }

    /** A ticket for what an engine has, for as long as it has it. */
    Flight.FlightEndpoint ticket(
            String owner, ByteString command, Noted of, long engine, List<ByteString> parts) {
        return ticket(
                owner,
                new Noted(
                        command,
                        of.sql,
                        of.queryClass,
                        ByteString.EMPTY,
                        engine,
                        parts,
                        losses(engine)));
    }

    void lost(long engine) {
        losses.merge(engine, 1, Integer::sum);
    }

    /**
     * A part that only one engine has: where that can't give it, the statement must be run again.
     */
    private final class Part extends Result {
        Part(Outlet outlet) {
            super(outlet);
        }

        @Override
        public void refused(long stayAwayMs) {
            failed(Front.Failure.ENGINE);
        }

        @Override
        public void failed(Front.Failure why) {
            if (why == Front.Failure.ENGINE) {
                fail(PART_LOST);
            } else {
                super.failed(why);
            }
        }
    }

    /** The answer of a query: whole, or a stream that has begun. */
    private class Result implements Reply {
        private final Outlet outlet;

        Result(Outlet outlet) {
            this.outlet = outlet;
        }

        @Override
        public void begun(Answers.Stream stream) {
            outlet.begin(stream);
        }

        @Override
        public void served(Object result) {
            if (result instanceof Answers.Held held) {
                outlet.send(held.frames(), held.room());
            } else if (result instanceof byte[] text) {
                outlet.send(ArrowRows.frames(text), () -> {});
            } else {
                outlet.complete();
            }
        }

        @Override
        public void refused(long stayAwayMs) {
            outlet.fail(Words.refusal(stayAwayMs), stayAwayMs);
        }

        @Override
        public void failed(Front.Failure why) {
            outlet.fail(Words.failure(why), -1);
        }

        @Override
        public void word(Status status) {
            if (status.getCode() == Status.Code.UNAVAILABLE) {
                refused(desk.mostWaitMs());
            } else {
                outlet.fail(status, -1);
            }
        }

        void fail(Status status) {
            outlet.fail(status, 0);
        }
    }

    // ---- Cancel, renew, time
    // ----------------------------------------------------------------------------
    /** Whether there was something of this owner's under this ticket that is ended now. */
    boolean cancel(String owner, ByteString ticket) {
        String handle;
        try {
            Any any = Commands.parse(ticket);
            handle =
                    Commands.name(any).equals("TicketStatementQuery")
                            ? Commands.unpack(any, FlightSql.TicketStatementQuery.class)
                                    .getStatementHandle()
                                    .toStringUtf8()
                            : Commands.unpack(any, FlightSql.CommandPreparedStatementQuery.class)
                                    .getPreparedStatementHandle()
                                    .toStringUtf8();
        } catch (io.grpc.StatusRuntimeException e) {
            return false;
        }
        if (tickets.remove(desk.now(), owner, handle) != null) {
            return true;
        }
        Running found = running.get(handle);
        if (found == null || !found.owner.equals(owner)) {
            return false;
        }
        found.stop.run();
        found.outlet.fail(Status.CANCELLED.withDescription("cancelled by its client"), -1);
        return true;
    }

    /** The endpoint with its time begun anew, or null. */
    Flight.FlightEndpoint renew(String owner, Flight.FlightEndpoint endpoint) {
        Any any = Commands.parse(endpoint.getTicket().getTicket());
        if (!Commands.name(any).equals("TicketStatementQuery")) {
            return null;
        }
        String handle =
                Commands.unpack(any, FlightSql.TicketStatementQuery.class)
                        .getStatementHandle()
                        .toStringUtf8();
        return tickets.get(desk.now(), owner, handle) == null
                ? null
                : endpoint.toBuilder()
                        .setExpirationTime(Commands.in(desk.config.ticketKeptUs()))
                        .build();
    }

    void left(String owner) {
        tickets.removeAll(owner);
        new ArrayList<>(running.values())
                .stream().filter(each -> each.owner.equals(owner)).forEach(each -> each.stop.run());
    }

    void expire(long now) {
        tickets.expire(now);
    }

    void look(long now) {
        for (Outlet outlet : new ArrayList<>(outlets)) {
            if (outlet.isStalledSince(now - desk.config.stallUs())) {
                outlet.fail(
                        Status.ABORTED.withDescription(
                                "the client stopped reading; what it has is not whole"),
                        -1);
                outlet.call.end(); // What serves it is given up, and what it holds is freed.
            }
        }
    }

    int open() {
        return outlets.size();
    }
}
