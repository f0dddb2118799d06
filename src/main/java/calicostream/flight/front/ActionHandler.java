// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.flight.state.FlightSessions;
import calicostream.flight.wire.FlightWire;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.Parser;
import io.grpc.Status;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.impl.FlightSql;

/**
 * DoAction: each action's name and what takes it. Flight's own actions are plain messages, Flight
 * SQL's are packed.
 */
final class ActionHandler {
    private interface Taker {
        void take(ServerCall<Flight.Result> call, ByteString body);
    }

    private final QueryHandler queries;
    private final PollHandler polls;
    private final Authentication logins;
    private final Map<String, Taker> takers = new LinkedHashMap<>();
    private final Map<String, String> described = new LinkedHashMap<>();

    ActionHandler(
            RequestDispatcher desk,
            QueryHandler queries,
            PollHandler polls,
            Authentication logins,
            PreparedStatementHandler statements,
            TransactionHandler transactions) {
        this.queries = queries;
        this.polls = polls;
        this.logins = logins;
        add(FlightWire.CANCEL_INFO, "Ends a query and frees its engine.", this::cancelInfo);
        add(FlightWire.CANCEL_QUERY, "The older form of CancelFlightInfo.", this::cancelQuery);
        add(FlightWire.RENEW_ENDPOINT, "Begins an endpoint's time anew.", this::renew);
        add(
                FlightWire.SET_OPTIONS,
                "Sets options of the session: catalog, schema, class, priority.",
                this::setOptions);
        add(FlightWire.GET_OPTIONS, "Tells the session's options.", this::getOptions);
        add(FlightWire.CLOSE_SESSION, "Ends the session.", this::closeSession);
        if (desk.engines == null) {
            return; // What is left needs engines that speak Flight SQL.
        }
        add(
                FlightWire.CREATE_PREPARED,
                "Prepares a statement.",
                (call, body) ->
                        statements.create(
                                call,
                                CommandDecoder.unpack(
                                        body,
                                        FlightSql.ActionCreatePreparedStatementRequest.class)));
        add(
                FlightWire.CREATE_PREPARED_PLAN,
                "Prepares a Substrait plan.",
                (call, body) ->
                        statements.createPlan(
                                call,
                                CommandDecoder.unpack(
                                        body,
                                        FlightSql.ActionCreatePreparedSubstraitPlanRequest.class)));
        add(
                FlightWire.CLOSE_PREPARED,
                "Closes a prepared statement, at its engines too.",
                (call, body) ->
                        statements.close(
                                call,
                                CommandDecoder.unpack(
                                        body,
                                        FlightSql.ActionClosePreparedStatementRequest.class)));
        add(
                FlightWire.BEGIN_TRANSACTION,
                "Begins a transaction on one engine.",
                (call, body) -> {
                    CommandDecoder.unpack(body, FlightSql.ActionBeginTransactionRequest.class);
                    transactions.begin(call);
                });
        add(
                FlightWire.END_TRANSACTION,
                "Commits or rolls back.",
                (call, body) ->
                        transactions.end(
                                call,
                                CommandDecoder.unpack(
                                        body, FlightSql.ActionEndTransactionRequest.class)));
        add(
                FlightWire.BEGIN_SAVEPOINT,
                "Sets a savepoint in a transaction.",
                (call, body) ->
                        transactions.savepoint(
                                call,
                                CommandDecoder.unpack(
                                        body, FlightSql.ActionBeginSavepointRequest.class)));
        add(
                FlightWire.END_SAVEPOINT,
                "Releases a savepoint, or rolls back to it.",
                (call, body) ->
                        transactions.endSavepoint(
                                call,
                                CommandDecoder.unpack(
                                        body, FlightSql.ActionEndSavepointRequest.class)));
    }

    private void add(String name, String what, Taker taker) {
        takers.put(name, taker);
        described.put(name, what);
    }

    void take(ServerCall<Flight.Result> call, Flight.Action action) {
        Taker taker = takers.get(action.getType());
        if (taker == null) {
            call.fail(FlightStatuses.unsupported("no action '" + action.getType() + "'"));
        } else {
            taker.take(call, action.getBody());
        }
    }

    List<Flight.ActionType> list() {
        return described.entrySet().stream()
                .map(
                        each ->
                                Flight.ActionType.newBuilder()
                                        .setType(each.getKey())
                                        .setDescription(each.getValue())
                                        .build())
                .toList();
    }

    private static <M extends Message> M plain(ByteString body, Parser<M> parser) {
        try {
            return parser.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            throw CommandDecoder.invalid("the action's body can't be read");
        }
    }

    private static Flight.Result plain(Message message) {
        return Flight.Result.newBuilder().setBody(message.toByteString()).build();
    }

    // ---- Queries
    // ----------------------------------------------------------------------------------------
    private boolean cancel(ServerCall<?> call, Flight.FlightInfo info) {
        boolean any = polls.cancel(call.owner, info.getFlightDescriptor());
        for (Flight.FlightEndpoint endpoint : info.getEndpointList()) {
            any |= queries.cancel(call.owner, endpoint.getTicket().getTicket());
        }
        return any;
    }

    private void cancelInfo(ServerCall<Flight.Result> call, ByteString body) {
        Flight.CancelFlightInfoRequest request =
                plain(body, Flight.CancelFlightInfoRequest.parser());
        if (!cancel(call, request.getInfo())) {
            call.fail(FlightStatuses.UNKNOWN_HANDLE);
            return;
        }
        call.reply(
                plain(
                        Flight.CancelFlightInfoResult.newBuilder()
                                .setStatus(Flight.CancelStatus.CANCEL_STATUS_CANCELLED)
                                .build()));
    }

    @SuppressWarnings("deprecation") // Older clients have no other word for it.
    private void cancelQuery(ServerCall<Flight.Result> call, ByteString body) {
        FlightSql.ActionCancelQueryRequest request =
                CommandDecoder.unpack(body, FlightSql.ActionCancelQueryRequest.class);
        if (!cancel(call, plain(request.getInfo(), Flight.FlightInfo.parser()))) {
            call.fail(FlightStatuses.UNKNOWN_HANDLE);
            return;
        }
        call.reply(
                TransactionHandler.result(
                        FlightSql.ActionCancelQueryResult.newBuilder()
                                .setResult(
                                        FlightSql.ActionCancelQueryResult.CancelResult
                                                .CANCEL_RESULT_CANCELLED)
                                .build()));
    }

    private void renew(ServerCall<Flight.Result> call, ByteString body) {
        Flight.FlightEndpoint renewed =
                queries.renew(
                        call.owner,
                        plain(body, Flight.RenewFlightEndpointRequest.parser()).getEndpoint());
        if (renewed == null) {
            call.fail(FlightStatuses.UNKNOWN_HANDLE, 0);
        } else {
            call.reply(plain(renewed));
        }
    }

    // ---- Sessions
    // ---------------------------------------------------------------------------------------
    private void setOptions(ServerCall<Flight.Result> call, ByteString body) {
        Flight.SetSessionOptionsRequest request =
                plain(body, Flight.SetSessionOptionsRequest.parser());
        FlightSessions.Session session = logins.opened(call);
        Flight.SetSessionOptionsResult.Builder out = Flight.SetSessionOptionsResult.newBuilder();
        request.getSessionOptionsMap()
                .forEach(
                        (name, value) -> {
                            FlightSessions.OptionResult done =
                                    logins.sessions().set(session, name, value(value));
                            if (done != FlightSessions.OptionResult.SET) {
                                out.putErrors(
                                        name,
                                        Flight.SetSessionOptionsResult.Error.newBuilder()
                                                .setValue(
                                                        done
                                                                        == FlightSessions
                                                                                .OptionResult
                                                                                .UNKNOWN_OPTION
                                                                ? Flight.SetSessionOptionsResult
                                                                        .ErrorValue.INVALID_NAME
                                                                : Flight.SetSessionOptionsResult
                                                                        .ErrorValue.INVALID_VALUE)
                                                .build());
                            }
                        });
        call.reply(plain(out.build()));
    }

    /** Null: the option is to be cleared. */
    private static Object value(Flight.SessionOptionValue value) {
        switch (value.getOptionValueCase()) {
            case STRING_VALUE:
                return value.getStringValue();
            case BOOL_VALUE:
                return value.getBoolValue();
            case INT64_VALUE:
                return value.getInt64Value();
            case DOUBLE_VALUE:
                return value.getDoubleValue();
            case STRING_LIST_VALUE:
                return List.copyOf(value.getStringListValue().getValuesList());
            default:
                return null;
        }
    }

    private void getOptions(ServerCall<Flight.Result> call, ByteString body) {
        plain(body, Flight.GetSessionOptionsRequest.parser());
        Flight.GetSessionOptionsResult.Builder out = Flight.GetSessionOptionsResult.newBuilder();
        if (call.session != null) {
            call.session
                    .options()
                    .forEach(
                            (name, value) ->
                                    out.putSessionOptions(
                                            name,
                                            value instanceof Long number
                                                    ? Flight.SessionOptionValue.newBuilder()
                                                            .setInt64Value(number)
                                                            .build()
                                                    : Flight.SessionOptionValue.newBuilder()
                                                            .setStringValue(value.toString())
                                                            .build()));
        }
        call.reply(plain(out.build()));
    }

    private void closeSession(ServerCall<Flight.Result> call, ByteString body) {
        plain(body, Flight.CloseSessionRequest.parser());
        if (!logins.close(call)) {
            call.fail(Status.NOT_FOUND.withDescription("no session"));
            return;
        }
        call.reply(
                plain(
                        Flight.CloseSessionResult.newBuilder()
                                .setStatus(Flight.CloseSessionResult.Status.CLOSED)
                                .build()));
    }
}
