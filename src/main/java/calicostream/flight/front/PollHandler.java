// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.core.FailureReason;
import calicostream.core.RequestResult;
import calicostream.flight.state.EngineConnection;
import calicostream.flight.state.HandleTable;
import calicostream.flight.state.QueryPoll;
import calicostream.flight.wire.EngineOperation;
import calicostream.flight.wire.EngineResult;
import calicostream.flight.wire.FlightWire;
import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import io.grpc.Status;
import java.util.List;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.impl.FlightSql;

/**
 * PollFlightInfo: a long query lives apart from the calls that ask how far it is. A call waits
 * without a thread until there is news or its patience ends; a query that nobody asks for any more
 * is given up.
 */
final class PollHandler {
    /** How a query ended: where its result is, or a status. */
    private record End(Flight.FlightInfo info, Status status, long stayAwayMs) {}

    private static final class Query {
        final QueryPoll<ServerCall<Flight.PollInfo>, End> progress;
        final String owner;
        String name;
        RequestDispatcher.Submitted attempt;
        EngineConnection connection;
        Flight.FlightInfo engineInfo; // once done: what the engine holds

        Query(String owner, int most) {
            this.owner = owner;
            progress = new QueryPoll<>(most);
        }
    }

    private final RequestDispatcher desk;
    private final QueryHandler queries;
    private final HandleTable<Query> all;

    PollHandler(RequestDispatcher desk, QueryHandler queries) {
        this.desk = desk;
        this.queries = queries;
        all =
                new HandleTable<>(
                        desk::name,
                        desk.config.statements(),
                        desk.config.statementsPerClient(),
                        Math.max(desk.config.ticketKeptUs(), 4 * desk.config.pollWaitUs()));
    }

    void poll(ServerCall<Flight.PollInfo> call, Flight.FlightDescriptor descriptor) {
        if (desk.engines == null) {
            throw FlightStatuses.unsupported("these engines tell no progress").asRuntimeException();
        }
        Any command = CommandDecoder.parse(CommandDecoder.command(descriptor));
        String name = CommandDecoder.name(command);
        if (name.equals("TicketStatementQuery")) {
            again(call, command);
        } else if (CommandDecoder.METADATA.containsKey(name)
                || name.equals("CommandPreparedStatementQuery")) {
            ServerCall<Flight.FlightInfo> info =
                    new ServerCall<>(call.caller, call.deadline, null) {
                        @Override
                        void reply(
                                Flight.FlightInfo
                                        whole) { // Nothing of it runs before it is fetched.
                            call.reply(
                                    Flight.PollInfo.newBuilder()
                                            .setInfo(whole)
                                            .setProgress(1)
                                            .build());
                        }

                        @Override
                        void fail(Status status, long stayAwayMs) {
                            call.fail(status, stayAwayMs);
                        }
                    };
            info.owner = call.owner;
            info.session = call.session;
            queries.info(info, descriptor);
        } else {
            queries.noted(call, command, name, noted -> begin(call, noted));
        }
    }

    private void begin(ServerCall<Flight.PollInfo> call, QueryHandler.PreparedTicket noted) {
        if (!noted.transaction().isEmpty()) {
            throw FlightStatuses.unsupported("no polling in a transaction").asRuntimeException();
        }
        int queryClass = desk.classOf(call, noted.queryClass(), desk.config.queryClass());
        if (queryClass < 0 || desk.spec(queryClass).load()) {
            throw CommandDecoder.invalid("a load is an update");
        }
        if (call.isSessionClosed()) {
            call.fail(FlightStatuses.SESSION_CLOSED);
            return;
        }
        Query query = new Query(call.owner, desk.config.calls());
        StringBuilder name = new StringBuilder();
        all.put(desk.now(), call.owner, query, name)
                .forEach(each -> giveUp(each, FlightStatuses.TOO_MANY_OPEN));
        query.name = name.toString();
        EngineOperation work =
                new EngineOperation.Poll(
                        noted.command(), share -> wake(query, query.progress.progressed(share)));
        query.attempt =
                desk.submitDetached(
                        call,
                        queryClass,
                        noted.sql(),
                        work,
                        new ResponseCallback() {
                            @Override
                            public void served(RequestResult result) {
                                EngineResult.Planned planned = (EngineResult.Planned) result;
                                query.connection = planned.connection();
                                query.engineInfo = planned.info();
                                List<ByteString> tickets =
                                        planned.info().getEndpointList().stream()
                                                .map(each -> each.getTicket().getTicket())
                                                .toList();
                                Flight.FlightInfo info =
                                        planned.info().toBuilder()
                                                .setFlightDescriptor(descriptor(query))
                                                .clearEndpoint()
                                                .addEndpoint(
                                                        queries.ticket(
                                                                query.owner,
                                                                noted.command(),
                                                                noted,
                                                                planned.connection(),
                                                                tickets))
                                                .build();
                                wake(query, query.progress.ended(new End(info, null, -1)));
                            }

                            @Override
                            public void refused(long stayAwayMs) {
                                end(FlightStatuses.refusal(stayAwayMs), stayAwayMs);
                            }

                            @Override
                            public void failed(FailureReason why) {
                                end(FlightStatuses.failure(why), -1);
                            }

                            @Override
                            public void word(Status status) {
                                end(status, -1);
                            }

                            private void end(Status status, long stayAwayMs) {
                                wake(
                                        query,
                                        query.progress.ended(new End(null, status, stayAwayMs)));
                            }
                        });
        tell(call, query);
    }

    private void again(ServerCall<Flight.PollInfo> call, Any command) {
        String[] parts =
                CommandDecoder.unpack(command, FlightSql.TicketStatementQuery.class)
                        .getStatementHandle()
                        .toStringUtf8()
                        .split(" ", 2);
        Query query = all.get(desk.now(), call.owner, parts[0]);
        if (query == null) {
            call.fail(FlightStatuses.UNKNOWN_HANDLE, 0);
            return;
        }
        long heard;
        try {
            heard = parts.length < 2 ? -1 : Long.parseLong(parts[1]);
        } catch (NumberFormatException e) {
            throw CommandDecoder.invalid("not a poll's descriptor");
        }
        if (!query.progress.await(call, heard)) {
            tell(call, query);
            return;
        }
        call.atEnd(() -> query.progress.callerGone(call));
        desk.loop
                .deadlines()
                .add(
                        desk.now() + desk.config.pollWaitUs(),
                        (now, ref) -> {
                            if (!call.isAnswered()) {
                                query.progress.callerGone(call);
                                tell(call, query);
                            }
                        },
                        0);
    }

    private void wake(Query query, List<ServerCall<Flight.PollInfo>> who) {
        who.forEach(call -> tell(call, query));
    }

    private Flight.FlightDescriptor descriptor(Query query) {
        return FlightWire.descriptor(
                FlightWire.packed(
                        FlightSql.TicketStatementQuery.newBuilder()
                                .setStatementHandle(
                                        ByteString.copyFromUtf8(
                                                query.name + " " + query.progress.version()))
                                .build()));
    }

    private void tell(ServerCall<Flight.PollInfo> call, Query query) {
        End end = query.progress.outcome();
        if (end != null && end.status != null) {
            call.fail(end.status, end.stayAwayMs);
        } else if (end != null) {
            call.reply(
                    Flight.PollInfo.newBuilder()
                            .setInfo(end.info)
                            .setProgress(1)
                            .setExpirationTime(CommandDecoder.in(desk.config.ticketKeptUs()))
                            .build());
        } else {
            call.reply(
                    Flight.PollInfo.newBuilder()
                            .setInfo(CommandDecoder.info(descriptor(query), ByteString.EMPTY))
                            .setFlightDescriptor(descriptor(query))
                            .setProgress(query.progress.fractionDone())
                            .setExpirationTime(CommandDecoder.in(desk.config.ticketKeptUs()))
                            .build());
        }
    }

    /** Whether this descriptor is of a query of this owner, which is given up now. */
    boolean cancel(String owner, Flight.FlightDescriptor descriptor) {
        String name;
        try {
            name =
                    CommandDecoder.unpack(
                                    CommandDecoder.command(descriptor),
                                    FlightSql.TicketStatementQuery.class)
                            .getStatementHandle()
                            .toStringUtf8()
                            .split(" ", 2)[0];
        } catch (io.grpc.StatusRuntimeException e) {
            return false;
        }
        Query query = all.remove(desk.now(), owner, name);
        if (query != null) {
            giveUp(query, FlightStatuses.CANCELLED_BY_CLIENT);
        }
        return query != null;
    }

    /** Frees the engine, and ends the polls that wait for news with this status. */
    private void giveUp(Query query, Status status) {
        if (query.attempt != null) {
            query.attempt.abandon();
        }
        if (query.engineInfo != null) {
            desk.engines.tidy(
                    query.connection,
                    FlightWire.CANCEL_INFO,
                    Flight.CancelFlightInfoRequest.newBuilder()
                            .setInfo(query.engineInfo)
                            .build()
                            .toByteString(),
                    false);
        }
        wake(query, query.progress.ended(new End(null, status, -1)));
    }

    void left(String owner) {
        all.removeAll(owner).forEach(query -> giveUp(query, FlightStatuses.SESSION_CLOSED));
    }

    void look(long now) {
        all.expire(now)
                .forEach(
                        query -> {
                            if (query.progress.outcome() == null) {
                                giveUp(query, FlightStatuses.CANCELLED_BY_CLIENT);
                            }
                        });
    }

    int size() {
        return all.size();
    }
}
