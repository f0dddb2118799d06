// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.core.Attempt;
import calicostream.core.Clock;
import calicostream.core.Deadlines;
import calicostream.core.EngineClient;
import calicostream.core.FailureReason;
import calicostream.core.Gateway;
import calicostream.core.IncomingRequest;
import calicostream.core.RequestListener;
import calicostream.core.RequestResult;
import calicostream.core.ResponseHandler;
import calicostream.core.TextResult;
import calicostream.net.InvalidInputException;
import calicostream.net.RingBuffer;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.RouterSettings;
import calicostream.sql.TableGroupScanner;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.List;

/**
 * Runs requests through the parsers, the gateway and the router before the process listens, so that
 * classes are loaded before the first clients of a front end that restarts under load. Uses a
 * gateway of its own with a simulated engine that responds at once, and no sockets.
 */
final class WarmUp implements EngineClient, ResponseHandler {
    /** Limited because the front end serves no clients until the warm-up ends. */
    private static final long MAX_DURATION_MICROS = 400_000;

    /** The time of one slice, after which the event loop continues. */
    private static final long SLICE_MICROS = 10_000;

    private static final int MAX_REQUESTS = 1500;
    private static final long ENGINE_ID = 1;
    private static final String STATEMENT =
            "select a.name, count(*) from sales_17.orders a where a.note = 'x_1.y'";
    private final RingBuffer responseBuffer = new RingBuffer(1 << 16);
    private final Deadlines deadlines = new Deadlines();
    private final Clock clock = new Clock();
    private final Gateway gateway;
    private final List<String> classNames;
    private final ArrayDeque<Attempt> sentAttempts = new ArrayDeque<>();
    private final String content =
            Base64.getEncoder().encodeToString(STATEMENT.getBytes(StandardCharsets.UTF_8));
    private long deadline;
    private int requestCount;
    private int responseCount;

    WarmUp(RouterSettings settings, List<String> classNames) {
        this.classNames = classNames;
        gateway = new Gateway(clock, deadlines, settings, RequestListener.NONE);
        gateway.start(
                this, List.of(new EngineEndpoint(ENGINE_ID, 0, 0, 0, 0, EngineLifecycle.READY)));
    }

    /** Runs requests for one slice of time; returns whether another slice is needed. */
    boolean runSlice() {
        long now = clock.now();
        deadline = deadline == 0 ? now + MAX_DURATION_MICROS : deadline;
        try {
            do {
                requestCount++;
                byte[] requestLine =
                        ("{\"jsonrpc\":\"2.0\",\"id\":"
                                        + requestCount
                                        + ",\"method\":\"m\",\"params\":{\"i\":\""
                                        + String.format("%016x", requestCount)
                                        + "\",\"d\":1500,\"content\":\""
                                        + content
                                        + "\"}}")
                                .getBytes(StandardCharsets.UTF_8);
                sendRequest(JsonRpc.read(requestLine), requestCount % classNames.size());
                deadlines.run(clock.now());
            } while (requestCount < MAX_REQUESTS
                    && clock.now() < Math.min(deadline, now + SLICE_MICROS));
        } catch (JsonRpc.MalformedJsonException | InvalidInputException e) {
            throw new IllegalStateException(e);
        }
        return requestCount < MAX_REQUESTS && clock.now() < deadline;
    }

    /** The number of responses received. */
    int responseCount() {
        return responseCount;
    }

    private void sendRequest(JsonRpc message, int queryClass) throws InvalidInputException {
        byte[] body = Base64.getDecoder().decode(message.content);
        gateway.accept(
                IncomingRequest.of(
                        this,
                        (long) message.id,
                        message.requestId,
                        queryClass,
                        TableGroupScanner.tableGroup(body),
                        (long) (message.timeoutMillis * 1000),
                        body));
        for (Attempt attempt = sentAttempts.poll();
                attempt != null;
                attempt = sentAttempts.poll()) {
            responseBuffer.put(
                    Resp.array(
                            Resp.ascii(attempt.request().id()),
                            Resp.ascii("DONE"),
                            Resp.ascii("sheets=1,stats=util:0.2;inflight:1"),
                            attempt.request().body()));
            byte[][] response = Resp.readArray(responseBuffer);
            gateway.attemptEnded(
                    attempt,
                    AttemptOutcome.OK,
                    RespFields.parseLoadReport(
                            RespFields.parse(new String(response[2], StandardCharsets.ISO_8859_1))
                                    .get("stats")),
                    new TextResult(response[3]));
        }
    }

    @Override
    public void attach(Gateway newGateway) {}

    @Override
    public void setAddress(long engine, InetSocketAddress address) {}

    @Override
    public void send(Attempt attempt) {
        sentAttempts.add(attempt);
    }

    @Override
    public void cancel(Attempt attempt) {}

    @Override
    public void priorityChanged(Attempt attempt) {}

    @Override
    public void engineDraining(long engine) {}

    @Override
    public void engineReinstated(long engine) {}

    @Override
    public void engineRemoved(long engine) {}

    @Override
    public void served(long tag, RequestResult result) {
        responseCount += JsonRpc.result(tag, ((TextResult) result).text()).length > 0 ? 1 : 0;
    }

    @Override
    public void rejected(long tag, long retryAfterMillis) {
        responseCount++;
    }

    @Override
    public void failed(long tag, FailureReason reason) {
        responseCount++;
    }
}
