// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.grpc.GrpcStatuses;
import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Deadline;
import io.grpc.ForwardingServerCall;
import io.grpc.Grpc;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import java.util.concurrent.TimeUnit;

/**
 * What a call brings beside its message, and what its answer carries beside it. Made on gRPC's
 * threads, then the loop's.
 */
final class CallContext {
    static final Metadata.Key<String> AUTHORIZATION =
            Metadata.Key.of("authorization", Metadata.ASCII_STRING_MARSHALLER);
    private static final Metadata.Key<String> COOKIE =
            Metadata.Key.of("cookie", Metadata.ASCII_STRING_MARSHALLER);
    private static final Metadata.Key<String> SET_COOKIE =
            Metadata.Key.of("set-cookie", Metadata.ASCII_STRING_MARSHALLER);
    private static final String SESSION = "arrow_flight_session_id";
    private static final Context.Key<CallContext> KEY = Context.key("calicostream-caller");
    final String queryClass;
    final String authorization;
    final String requestId; // null: it names none that can be used
    final String cookie;
    final String remote;
    private final Metadata added = new Metadata();
    private boolean headersSent;

    private CallContext(Metadata headers, String remote) {
        queryClass = headers.get(GrpcStatuses.QUERY_CLASS);
        authorization = headers.get(AUTHORIZATION);
        String given = headers.get(GrpcStatuses.REQUEST_ID);
        requestId = given != null && given.matches("[A-Za-z0-9._-]{1,64}") ? given : null;
        cookie = sessionOf(headers);
        this.remote = remote;
    }

    private static String sessionOf(Metadata headers) {
        Iterable<String> all = headers.getAll(COOKIE);
        if (all != null) {
            for (String line : all) {
                for (String each : line.split(";")) {
                    String pair = each.trim();
                    if (pair.startsWith(SESSION + "=")) {
                        return pair.substring(SESSION.length() + 1);
                    }
                }
            }
        }
        return null;
    }

    static CallContext current() {
        return KEY.get();
    }

    static ServerInterceptor interceptor() {
        return new ServerInterceptor() {
            @Override
            public <Q, R> ServerCall.Listener<Q> interceptCall(
                    ServerCall<Q, R> call, Metadata headers, ServerCallHandler<Q, R> next) {
                CallContext caller =
                        new CallContext(
                                headers,
                                String.valueOf(
                                        call.getAttributes().get(Grpc.TRANSPORT_ATTR_REMOTE_ADDR)));
                return Contexts.interceptCall(
                        Context.current().withValue(KEY, caller),
                        caller.adding(call),
                        headers,
                        next);
            }
        };
    }

    private <Q, R> ServerCall<Q, R> adding(ServerCall<Q, R> call) {
        return new ForwardingServerCall.SimpleForwardingServerCall<>(call) {
            @Override
            public void sendHeaders(Metadata headers) {
                headersSent = true;
                headers.merge(added);
                super.sendHeaders(headers);
            }

            @Override
            public void close(Status status, Metadata trailers) {
                if (!headersSent) {
                    trailers.merge(added);
                }
                super.close(status, trailers);
            }
        };
    }

    /** Microseconds left of this deadline, at most these. */
    static long left(Deadline deadline, long most) {
        return deadline == null
                ? most
                : Math.min(most, deadline.timeRemaining(TimeUnit.MICROSECONDS));
    }

    /** On the loop, before the answer: the token to use from now on. */
    void grant(String token) {
        added.put(AUTHORIZATION, "Bearer " + token);
    }

    void giveCookie(String session) {
        added.put(SET_COOKIE, SESSION + "=" + session);
    }

    void dropCookie() {
        added.put(SET_COOKIE, SESSION + "=; Max-Age=0");
    }
}
