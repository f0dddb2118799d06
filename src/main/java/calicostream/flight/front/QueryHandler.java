// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.core.FailureReason;
import calicostream.core.RequestResult;
import calicostream.core.TextResult;
import calicostream.flight.ArrowRows;
import calicostream.flight.state.CatalogChangeDetector;
import calicostream.flight.state.EngineConnection;
import calicostream.flight.state.HandleTable;
import calicostream.flight.state.Transactions.Purpose;
import calicostream.flight.state.Transactions.Transaction;
import calicostream.flight.wire.EngineOperation;
import calicostream.flight.wire.EngineResult;
import calicostream.flight.wire.FlightFrame;
import calicostream.flight.wire.FlightWire;
import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import io.grpc.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
final class QueryHandler {
    /**
     * What a ticket stands for. {@code tickets}: of an engine that has run it already; else empty,
     * and it runs anew.
     */
    record PreparedTicket(
            ByteString command,
            String sql,
            String queryClass,
            ByteString transaction,
            EngineConnection connection,
            List<ByteString> tickets,
            int losses) {}

    private static final Status PART_LOST =
            Status.NOT_FOUND.withDescription(
                    "the engine that had this part is lost; run the statement again");
    private final RequestDispatcher desk;
    private final TransactionHandler transactions;
    private final PreparedStatementHandler statements;
    private final CatalogHandler catalogs;
    private final SqlInfo info;
    private final HandleTable<PreparedTicket> tickets;
    private final Map<Long, Integer> losses = new HashMap<>(); // of an engine, how often
    private final RunningQueries running = new RunningQueries();
    private final Set<ResultStream> outlets = new java.util.LinkedHashSet<>();

    QueryHandler(
            RequestDispatcher desk,
            TransactionHandler transactions,
            PreparedStatementHandler statements,
            CatalogHandler catalogs,
            SqlInfo info) {
        this.desk = desk;
        this.transactions = transactions;
        this.statements = statements;
        this.catalogs = catalogs;
        this.info = info;
        tickets =
                new HandleTable<>(
                        desk::name,
                        desk.config.statements(),
                        desk.config.statements(),
                        desk.config.ticketKeptUs());
    }

    // ---- GetFlightInfo, GetSchema
    // -----------------------------------------------------------------------
    void info(ServerCall<Flight.FlightInfo> call, Flight.FlightDescriptor descriptor) {
        ByteString bytes = CommandDecoder.command(descriptor);
        Any command = CommandDecoder.parse(bytes);
        String name = CommandDecoder.name(command);
        if (CommandDecoder.METADATA.containsKey(name)) {
            catalogued(name);
            call.reply(
                    CommandDecoder.info(
                                    descriptor, FlightWire.schema(metadataSchema(command, name)))
                            .addEndpoint(CommandDecoder.endpoint(bytes))
                            .build());
        } else if (name.equals("CommandPreparedStatementQuery")) {
            PreparedStatementHandler.Entry statement =
                    statements.find(
                            call,
                            CommandDecoder.unpack(
                                            command, FlightSql.CommandPreparedStatementQuery.class)
                                    .getPreparedStatementHandle());
            if (statement != null) {
                call.reply(
                        CommandDecoder.info(descriptor, statement.resultSchema)
                                .addEndpoint(CommandDecoder.endpoint(bytes))
                                .build());
            }
        } else {
            noted(call, command, name, noted -> plan(call, descriptor, noted));
        }
    }

    /** What the command says, checked; a plan is looked at for whether engines take any. */
    void noted(
            ServerCall<?> call,
            Any command,
            String name,
            java.util.function.Consumer<PreparedTicket> then) {
        if (name.equals("CommandStatementQuery")) {
            FlightSql.CommandStatementQuery query =
                    CommandDecoder.unpack(command, FlightSql.CommandStatementQuery.class);
            if (query.getQuery().isBlank()) {
                throw CommandDecoder.invalid("an empty statement");
            }
            then.accept(
                    new PreparedTicket(
                            command.toByteString(),
                            query.getQuery(),
                            classNamed(call),
                            query.getTransactionId(),
                            EngineConnection.ANY,
                            List.of(),
                            0));
        } else if (name.equals("CommandStatementSubstraitPlan")) {
            FlightSql.CommandStatementSubstraitPlan plan =
                    CommandDecoder.unpack(command, FlightSql.CommandStatementSubstraitPlan.class);
            info.ifSubstrait(
                    call,
                    () ->
                            then.accept(
                                    new PreparedTicket(
                                            command.toByteString(),
                                            "",
                                            classNamed(call),
                                            plan.getTransactionId(),
                                            EngineConnection.ANY,
                                            List.of(),
                                            0)));
        } else {
            throw CommandDecoder.invalid(name + " is no query");
        }
    }

    private String classNamed(ServerCall<?> call) {
        if (call.caller.queryClass != null && !desk.classNames().contains(call.caller.queryClass)) {
            throw CommandDecoder.invalid("no class '" + call.caller.queryClass + "'");
        }
        return call.caller.queryClass;
    }

    private void catalogued(String name) {
        if (desk.engines == null && !name.equals("CommandGetSqlInfo")) {
            throw FlightStatuses.unsupported("these engines tell nothing of their catalogs")
                    .asRuntimeException();
        }
    }

    private static org.apache.arrow.vector.types.pojo.Schema metadataSchema(
            Any command, String name) {
        boolean tables = name.equals("CommandGetTables");
        return tables
                        && !CommandDecoder.unpack(command, FlightSql.CommandGetTables.class)
                                .getIncludeSchema()
                ? Schemas.GET_TABLES_SCHEMA_NO_SCHEMA
                : CommandDecoder.METADATA.get(name);
    }

    private void plan(
            ServerCall<Flight.FlightInfo> call,
            Flight.FlightDescriptor descriptor,
            PreparedTicket noted) {
        boolean inTransaction = !noted.transaction.isEmpty();
        if (desk.engines == null) {
            if (inTransaction) {
                call.fail(FlightStatuses.UNKNOWN_HANDLE);
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
            ServerCall<Flight.FlightInfo> call,
            Flight.FlightDescriptor descriptor,
            PreparedTicket noted) {
        Transaction<ByteString> txn = transactions.use(call, noted.transaction, Purpose.STATEMENT);
        if (txn != null) {
            ResponseCallback answer =
                    new ResponseCallback.To<>(call) {
                        @Override
                        public void served(RequestResult result) {
                            reply(
                                    call,
                                    descriptor,
                                    ((EngineResult.Described) result).schema(),
                                    noted);
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
                    new EngineOperation.Describe(within(noted, txn)),
                    txn.connection,
                    transactions.within(txn, true, answer));
        }
    }

    /** The command as the transaction's engine knows it. */
    private static ByteString within(PreparedTicket noted, Transaction<ByteString> txn) {
        Any any = CommandDecoder.parse(noted.command);
        return CommandDecoder.name(any).equals("CommandStatementQuery")
                ? FlightWire.packed(
                        CommandDecoder.unpack(any, FlightSql.CommandStatementQuery.class)
                                .toBuilder()
                                .setTransactionId(txn.handle)
                                .build())
                : FlightWire.packed(
                        CommandDecoder.unpack(any, FlightSql.CommandStatementSubstraitPlan.class)
                                .toBuilder()
                                .setTransactionId(txn.handle)
                                .build());
    }

    /** The engine's own endpoints, each under a ticket of ours. */
    private void planParts(
            ServerCall<Flight.FlightInfo> call,
            Flight.FlightDescriptor descriptor,
            PreparedTicket noted) {
        int queryClass = desk.classOf(call, noted.queryClass, desk.config.queryClass());
        if (queryClass < 0 || desk.spec(queryClass).load()) {
            throw CommandDecoder.invalid("a load is an update");
        }
        desk.submit(
                call,
                queryClass,
                noted.sql,
                new EngineOperation.Plan(noted.command),
                EngineConnection.ANY,
                new ResponseCallback.To<>(call) {
                    @Override
                    public void served(RequestResult result) {
                        if (call.isSessionClosed()) {
                            call.fail(FlightStatuses.SESSION_CLOSED);
                            return;
                        }
                        EngineResult.Planned planned = (EngineResult.Planned) result;
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
                                                                planned.connection(),
                                                                List.of(
                                                                        each.getTicket()
                                                                                .getTicket()))));
                        call.reply(out.build());
                    }
                });
    }

    private void reply(
            ServerCall<Flight.FlightInfo> call,
            Flight.FlightDescriptor descriptor,
            ByteString schema,
            PreparedTicket noted) {
        if (call.isSessionClosed()) {
            call.fail(FlightStatuses.SESSION_CLOSED);
            return;
        }
        call.reply(
                CommandDecoder.info(descriptor, schema)
                        .addEndpoint(ticket(call.owner, noted))
                        .build());
    }

    /** An endpoint whose ticket serves once. */
    Flight.FlightEndpoint ticket(String owner, PreparedTicket noted) {
        StringBuilder name = new StringBuilder();
        tickets.put(desk.now(), owner, noted, name);
        ByteString ticket =
                FlightWire.packed(
                        FlightSql.TicketStatementQuery.newBuilder()
                                .setStatementHandle(ByteString.copyFromUtf8(name.toString()))
                                .build());
        return CommandDecoder.endpoint(ticket)
                .setExpirationTime(CommandDecoder.in(desk.config.ticketKeptUs()))
                .build();
    }

    void schema(ServerCall<Flight.SchemaResult> call, Flight.FlightDescriptor descriptor) {
        ByteString bytes = CommandDecoder.command(descriptor);
        Any command = CommandDecoder.parse(bytes);
        String name = CommandDecoder.name(command);
        if (CommandDecoder.METADATA.containsKey(name)) {
            catalogued(name);
            call.reply(schemaOf(FlightWire.schema(metadataSchema(command, name))));
        } else if (name.equals("CommandPreparedStatementQuery")) {
            PreparedStatementHandler.Entry statement =
                    statements.find(
                            call,
                            CommandDecoder.unpack(
                                            command, FlightSql.CommandPreparedStatementQuery.class)
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
                            call.fail(FlightStatuses.unsupported("these engines tell no schemas"));
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
                            Transaction<ByteString> txn =
                                    transactions.use(call, noted.transaction, Purpose.STATEMENT);
                            if (txn != null) {
                                desk.submit(
                                        call,
                                        desk.metadataClass(),
                                        noted.sql,
                                        new EngineOperation.Describe(within(noted, txn)),
                                        txn.connection,
                                        transactions.within(
                                                txn,
                                                true,
                                                new ResponseCallback.To<>(call) {
                                                    @Override
                                                    public void served(RequestResult result) {
                                                        call.reply(
                                                                schemaOf(
                                                                        ((EngineResult.Described)
                                                                                        result)
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
    void get(ServerCall<FlightFrame> call, ResultStream outlet, Flight.Ticket ticket) {
        Any command = CommandDecoder.parse(ticket.getTicket());
        String name = CommandDecoder.name(command);
        outlets.add(outlet);
        call.atEnd(() -> outlets.remove(outlet));
        if (name.equals("TicketStatementQuery")) {
            String handle =
                    CommandDecoder.unpack(command, FlightSql.TicketStatementQuery.class)
                            .getStatementHandle()
                            .toStringUtf8();
            // Taken out at once: a ticket fetched again, by a client's own retry, must not run the
            // statement again.
            PreparedTicket noted = tickets.remove(desk.now(), call.owner, handle);
            if (noted == null) {
                outlet.fail(FlightStatuses.UNKNOWN_HANDLE, 0);
            } else {
                run(outlet, handle, noted);
            }
        } else if (name.equals("CommandPreparedStatementQuery")) {
            prepared(
                    outlet,
                    CommandDecoder.unpack(command, FlightSql.CommandPreparedStatementQuery.class)
                            .getPreparedStatementHandle());
        } else if (name.equals("CommandGetSqlInfo")) {
            info.frames(
                    call,
                    CommandDecoder.unpack(command, FlightSql.CommandGetSqlInfo.class),
                    told -> tell(outlet, told));
        } else if (CommandDecoder.METADATA.containsKey(name)) {
            catalogued(name);
            catalogs.frames(call, ticket.getTicket(), told -> tell(outlet, told));
        } else {
            throw CommandDecoder.invalid(name + " is no ticket");
        }
    }

    @SuppressWarnings("unchecked")
    private static void tell(ResultStream outlet, CatalogHandler.Told told) {
        if (told.status() != null) {
            outlet.fail(told.status(), told.stayAwayMs());
        } else {
            outlet.send((List<FlightFrame>) told.answer(), () -> {});
        }
    }

    private int queryClass(ServerCall<?> call, String noted) {
        int queryClass = desk.classOf(call, noted, desk.config.queryClass());
        if (queryClass < 0) {
            throw CommandDecoder.invalid("no class '" + call.caller.queryClass + "'");
        }
        if (desk.spec(queryClass).load()) {
            throw CommandDecoder.invalid("a load is an update");
        }
        return queryClass;
    }

    private void run(ResultStream outlet, String handle, PreparedTicket noted) {
        ServerCall<FlightFrame> call = outlet.call;
        int queryClass = queryClass(call, noted.queryClass);
        if (!noted.transaction.isEmpty()) {
            Transaction<ByteString> txn =
                    transactions.use(call, noted.transaction, Purpose.STATEMENT);
            if (txn != null) {
                submit(
                        outlet,
                        handle,
                        queryClass,
                        noted.sql,
                        new EngineOperation.Query(within(noted, txn), null, true),
                        txn.connection,
                        transactions.within(txn, true, new Result(outlet)));
            }
        } else if (noted.tickets.isEmpty() || isLost(noted) && !noted.command.isEmpty()) {
            submit(
                    outlet,
                    handle,
                    queryClass,
                    noted.sql,
                    new EngineOperation.Query(noted.command, null, true),
                    EngineConnection.ANY,
                    new Result(outlet));
        } else if (isLost(noted)) {
            outlet.fail(PART_LOST, 0);
        } else { // An engine has it; where that engine is lost, what can be run anew is.
            ResponseCallback reply =
                    noted.command.isEmpty()
                            ? new Part(outlet)
                            : new Result(outlet) {
                                @Override
                                public void refused(long stayAwayMs) {
                                    anew();
                                }

                                @Override
                                public void failed(FailureReason why) {
                                    if (why == FailureReason.ENGINE) {
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
                                            new EngineOperation.Query(noted.command, null, true),
                                            EngineConnection.ANY,
                                            new Result(outlet));
                                }
                            };
            submit(
                    outlet,
                    handle,
                    queryClass,
                    noted.sql,
                    new EngineOperation.Fetch(noted.tickets, true),
                    noted.connection,
                    reply);
        }
    }

    private void prepared(ResultStream outlet, ByteString handle) {
        ServerCall<FlightFrame> call = outlet.call;
        PreparedStatementHandler.Entry statement = statements.find(call, handle);
        if (statement == null) {
            return;
        }
        int queryClass = queryClass(call, null);
        List<FlightFrame> rows = statement.core.boundParameters();
        String fault = PreparedStatementHandler.fault(statement, rows);
        if (fault != null) {
            throw CommandDecoder.invalid(fault);
        }
        EngineOperation work =
                new EngineOperation.Query(ByteString.EMPTY, statement.bound(rows), true);
        if (statement.transaction.isEmpty()) {
            submit(
                    outlet,
                    handle.toStringUtf8(),
                    queryClass,
                    statement.sql,
                    work,
                    EngineConnection.ANY,
                    new Result(outlet));
        } else {
            Transaction<ByteString> txn =
                    transactions.use(call, statement.transaction, Purpose.STATEMENT);
            if (txn != null) {
                submit(
                        outlet,
                        handle.toStringUtf8(),
                        queryClass,
                        statement.sql,
                        work,
                        txn.connection,
                        transactions.within(txn, true, new Result(outlet)));
            }
        }
    }

    private void submit(
            ResultStream outlet,
            String ticket,
            int queryClass,
            String sql,
            EngineOperation work,
            EngineConnection pinned,
            ResponseCallback reply) {
        ServerCall<FlightFrame> call = outlet.call;
        running.add(ticket, outlet, desk.submit(call, queryClass, sql, work, pinned, reply));
        if (CatalogChangeDetector.changesCatalog(sql)) {
            catalogs.changed("");
        }
    }

    private int losses(long engine) {
        return losses.getOrDefault(engine, 0);
    }

    private boolean isLost(PreparedTicket noted) {
        return losses(noted.connection.engine()) != noted.losses
                || !desk.engines.isCurrent(noted.connection);
    }

    /** A ticket for what an engine has, for as long as it has it. */
    Flight.FlightEndpoint ticket(
            String owner,
            ByteString command,
            PreparedTicket of,
            EngineConnection connection,
            List<ByteString> parts) {
        return ticket(
                owner,
                new PreparedTicket(
                        command,
                        of.sql,
                        of.queryClass,
                        ByteString.EMPTY,
                        connection,
                        parts,
                        losses(connection.engine())));
    }

    /** The engines that hold results for which tickets are out. */
    Set<Long> enginesInUse() {
        Set<Long> out = new HashSet<>();
        tickets.forEach(each -> out.add(each.connection.engine()));
        out.remove(EngineConnection.ANY.engine());
        return out;
    }

    void lost(long engine) {
        losses.merge(engine, 1, Integer::sum);
    }

    /**
     * A part that only one engine has: where that can't give it, the statement must be run again.
     */
    private final class Part extends Result {
        Part(ResultStream outlet) {
            super(outlet);
        }

        @Override
        public void refused(long stayAwayMs) {
            failed(FailureReason.ENGINE);
        }

        @Override
        public void failed(FailureReason why) {
            if (why == FailureReason.ENGINE) {
                fail(PART_LOST);
            } else {
                super.failed(why);
            }
        }
    }

    /** The answer of a query: whole, or a stream that has begun. */
    private class Result implements ResponseCallback {
        private final ResultStream outlet;

        Result(ResultStream outlet) {
            this.outlet = outlet;
        }

        @Override
        public void begun(EngineResult.Stream stream) {
            outlet.begin(stream);
        }

        @Override
        public void served(RequestResult result) {
            if (result instanceof EngineResult.Held held) {
                outlet.send(held.frames(), held.room());
            } else if (result instanceof TextResult text) {
                outlet.send(ArrowRows.frames(text.text()), () -> {});
            } else {
                outlet.complete();
            }
        }

        @Override
        public void refused(long stayAwayMs) {
            outlet.fail(FlightStatuses.refusal(stayAwayMs), stayAwayMs);
        }

        @Override
        public void failed(FailureReason why) {
            outlet.fail(FlightStatuses.failure(why), -1);
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
            Any any = CommandDecoder.parse(ticket);
            handle =
                    CommandDecoder.name(any).equals("TicketStatementQuery")
                            ? CommandDecoder.unpack(any, FlightSql.TicketStatementQuery.class)
                                    .getStatementHandle()
                                    .toStringUtf8()
                            : CommandDecoder.unpack(
                                            any, FlightSql.CommandPreparedStatementQuery.class)
                                    .getPreparedStatementHandle()
                                    .toStringUtf8();
        } catch (io.grpc.StatusRuntimeException e) {
            return false;
        }
        if (tickets.remove(desk.now(), owner, handle) != null) {
            return true;
        }
        return running.end(owner, handle, FlightStatuses.CANCELLED_BY_CLIENT);
    }

    /** The endpoint with its time begun anew, or null. */
    Flight.FlightEndpoint renew(String owner, Flight.FlightEndpoint endpoint) {
        Any any = CommandDecoder.parse(endpoint.getTicket().getTicket());
        if (!CommandDecoder.name(any).equals("TicketStatementQuery")) {
            return null;
        }
        String handle =
                CommandDecoder.unpack(any, FlightSql.TicketStatementQuery.class)
                        .getStatementHandle()
                        .toStringUtf8();
        return tickets.get(desk.now(), owner, handle) == null
                ? null
                : endpoint.toBuilder()
                        .setExpirationTime(CommandDecoder.in(desk.config.ticketKeptUs()))
                        .build();
    }

    /** The last session of this owner was closed: its tickets and its queries end. */
    void left(String owner) {
        tickets.removeAll(owner);
        running.endAll(owner, FlightStatuses.SESSION_CLOSED);
    }

    void expire(long now) {
        tickets.expire(now);
    }

    void look(long now) {
        for (ResultStream outlet : new ArrayList<>(outlets)) {
            if (outlet.isStalledSince(now - desk.config.stallUs())) {
                outlet.fail(
                        Status.ABORTED.withDescription(
                                "the client stopped reading; what it has is not whole"),
                        -1);
            }
        }
    }

    /** Ends the results that are on their way to clients, before the process ends. */
    void terminateAll() {
        Status status = FlightStatuses.failure(FailureReason.STREAM_BROKEN);
        List.copyOf(outlets).forEach(outlet -> outlet.fail(status, -1));
    }

    int open() {
        return outlets.size();
    }
}
