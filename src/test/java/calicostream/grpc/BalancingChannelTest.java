// SPDX-License-Identifier: Apache-2.0
package calicostream.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.core.RequestListener;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.SettingsParser;
import com.google.protobuf.StringValue;
import io.grpc.CallOptions;
import io.grpc.MethodDescriptor;
import io.grpc.Server;
import io.grpc.ServerServiceDefinition;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.protobuf.ProtoUtils;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.ServerCalls;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** {@link BalancingChannel} against fake gRPC engines. */
class BalancingChannelTest {
    private static final MethodDescriptor<StringValue, StringValue> RUN =
            MethodDescriptor.<StringValue, StringValue>newBuilder()
                    .setType(MethodDescriptor.MethodType.UNARY)
                    .setFullMethodName("fake.Engine/Run")
                    .setRequestMarshaller(ProtoUtils.marshaller(StringValue.getDefaultInstance()))
                    .setResponseMarshaller(ProtoUtils.marshaller(StringValue.getDefaultInstance()))
                    .build();
    private static final String SETTINGS =
            "lanes.count=3\n"
                    + "lanes.0.name=look\n"
                    + "lanes.0.effect=repeatable\n"
                    + "lanes.0.aim_us=4000000\n"
                    + "lanes.0.deadline_us=9000000\n"
                    + "lanes.1.name=load\n"
                    + "lanes.1.effect=once\n"
                    + "lanes.1.aim_us=4000000\n"
                    + "lanes.1.deadline_us=9000000\n"
                    + "lanes.2.name=keyed\n"
                    + "lanes.2.effect=by_key\n"
                    + "lanes.2.aim_us=4000000\n"
                    + "lanes.2.deadline_us=9000000\n"
                    + "lanes.2.window_us=1\n"
                    + "family_info.kind_cores=12\n"
                    + "family_info.holds_tables=false,true,false\n"
                    + "family_info.width_by_class=1,2,1\n"
                    + "ceilings.max_attempts=3\n"
                    + "ceilings.cancel=true\n"
                    + "ceilings.dial_timeout_us=5000000\n"
                    + "tick_us=5000\n"
                    + "family_info.note_period_us=50000\n";
    private final List<Server> servers = new ArrayList<>();
    private final AtomicInteger runs = new AtomicInteger();
    private BalancingChannel channel;

    private void start(List<UnaryOperator<String>> engines) throws Exception {
        channel =
                new BalancingChannel(
                        SettingsParser.ofLines(SETTINGS),
                        address ->
                                NettyChannelBuilder.forAddress(address)
                                        .usePlaintext()
                                        .disableRetry()
                                        .directExecutor()
                                        .build(),
                        RequestListener.NONE);
        List<EngineEndpoint> endpoints = new ArrayList<>();
        Map<Long, InetSocketAddress> addresses = new HashMap<>();
        for (UnaryOperator<String> engine : engines) {
            Server server =
                    NettyServerBuilder.forAddress(
                                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                            .addService(
                                    ServerServiceDefinition.builder("fake.Engine")
                                            .addMethod(
                                                    RUN,
                                                    ServerCalls.asyncUnaryCall(
                                                            (request, to) -> {
                                                                runs.incrementAndGet();
                                                                try {
                                                                    to.onNext(
                                                                            StringValue.of(
                                                                                    engine.apply(
                                                                                            request
                                                                                                    .getValue())));
                                                                    to.onCompleted();
                                                                } catch (StatusRuntimeException e) {
                                                                    to.onError(e);
                                                                }
                                                            }))
                                            .build())
                            .build()
                            .start();
            servers.add(server);
            long id = servers.size();
            endpoints.add(new EngineEndpoint(id, 0, 0, 0, 0, EngineLifecycle.READY));
            addresses.put(
                    id, new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getPort()));
        }
        channel.endpointsChanged(EndpointUpdate.COMPLETE, endpoints, addresses);
    }

    private String call(String queryClass, long waitMs) {
        CallOptions options =
                CallOptions.DEFAULT
                        .withOption(BalancingChannel.QUERY_CLASS, queryClass)
                        .withDeadlineAfter(waitMs, TimeUnit.MILLISECONDS);
        return ClientCalls.blockingUnaryCall(channel, RUN, options, StringValue.of("x")).getValue();
    }

    private static String unavailable(String request) {
        throw Status.UNAVAILABLE.asRuntimeException();
    }

    @AfterEach
    void end() {
        channel.close();
        servers.forEach(Server::shutdownNow);
    }

    @Test
    void callIsServed() throws Exception {
        start(List.of(x -> x + " done"));
        assertEquals("x done", call("look", 8000));
        assertEquals(1, runs.get());
    }

    @Test
    void idempotentCallIsRetriedAndNonIdempotentCallIsNot() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        UnaryOperator<String> first =
                x -> attempts.incrementAndGet() == 1 ? unavailable(x) : x + " done";
        start(List.of(first, first));
        assertEquals("x done", call("look", 8000));
        assertEquals(2, runs.get());
        attempts.set(0);
        assertEquals(
                Status.Code.UNAVAILABLE,
                assertThrows(StatusRuntimeException.class, () -> call("load", 8000))
                        .getStatus()
                        .getCode());
        assertEquals(3, runs.get());
    }

    /** Counted as a proof that the call had not run, so that it was sent to another engine. */
    @Test
    void keyedCallIsNotRetriedAfterItsWindowWithoutAProofThatItNeverRan() throws Exception {
        UnaryOperator<String> outOfMemory =
                x -> {
                    throw Status.RESOURCE_EXHAUSTED.asRuntimeException();
                };
        start(List.of(outOfMemory, outOfMemory));
        assertThrows(StatusRuntimeException.class, () -> call("keyed", 8000));
        assertEquals(1, runs.get());
    }

    @Test
    void callWithoutEnginesIsRejectedWithRetryAfter() throws Exception {
        start(List.of());
        StatusRuntimeException rejection =
                assertThrows(StatusRuntimeException.class, () -> call("look", 8000));
        assertEquals(Status.Code.UNAVAILABLE, rejection.getStatus().getCode());
        assertTrue(Long.parseLong(rejection.getTrailers().get(GrpcStatuses.RETRY_PUSHBACK)) > 0);
    }

    @Test
    void callWithUnknownClassIsInvalid() throws Exception {
        start(List.of(x -> x));
        assertEquals(
                Status.Code.INVALID_ARGUMENT,
                assertThrows(StatusRuntimeException.class, () -> call("what", 8000))
                        .getStatus()
                        .getCode());
        assertEquals(0, runs.get());
    }
}
