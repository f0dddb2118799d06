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
 * Takes requests through parsers, core and module before the program listens, so that a front end
 * which starts again in the middle of a day does not load its classes at its first clients' cost.
 * It works on a core of its own, whose engine answers at once, and touches no socket.
 */
final class WarmUp implements EngineClient, ResponseHandler {
    private static final long LONGEST = 400_000; // us: a front end that is not up yet serves nobody
    private static final long PIECE = 10_000; // us of work in one go
    private static final int REQUESTS = 1500;
    private static final long ENGINE = 1;
    private static final String STATEMENT =
            "select a.name, count(*) from sales_17.orders a where a.note = 'x_1.y'";
    private final RingBuffer ring = new RingBuffer(1 << 16);
    private final Deadlines deadlines = new Deadlines();
    private final Clock clock = new Clock();
    private final Gateway gateway;
    private final List<String> classNames;
    private final ArrayDeque<Attempt> out = new ArrayDeque<>();
    private final String content =
            Base64.getEncoder().encodeToString(STATEMENT.getBytes(StandardCharsets.UTF_8));
    private long end;
    private int made;
    private int answers;

    WarmUp(RouterSettings settings, List<String> classNames) {
        this.classNames = classNames;
        gateway = new Gateway(clock, deadlines, settings, RequestListener.NONE);
        gateway.start(this, List.of(new EngineEndpoint(ENGINE, 0, 0, 0, 0, EngineLifecycle.READY)));
    }

    /** Works for a moment; whether there is more to do. */
    boolean goesOn() {
        long now = clock.now();
        end = end == 0 ? now + LONGEST : end;
        try {
            do {
                made++;
                byte[] line =
                        ("{\"jsonrpc\":\"2.0\",\"id\":"
                                        + made
                                        + ",\"method\":\"m\",\"params\":{\"i\":\""
                                        + String.format("%016x", made)
                                        + "\",\"d\":1500,\"content\":\""
                                        + content
                                        + "\"}}")
                                .getBytes(StandardCharsets.UTF_8);
                request(JsonRpc.read(line), made % classNames.size());
                deadlines.run(clock.now());
            } while (made < REQUESTS && clock.now() < Math.min(end, now + PIECE));
        } catch (JsonRpc.NotJson | InvalidInputException e) {
            throw new IllegalStateException(e);
        }
        return made < REQUESTS && clock.now() < end;
    }

    /** The number of requests answered. */
    int answers() {
        return answers;
    }

    private void request(JsonRpc message, int queryClass) throws InvalidInputException {
        byte[] body = Base64.getDecoder().decode(message.content);
        gateway.accept(
                IncomingRequest.of(
                        this,
                        (long) message.id,
                        message.requestId,
                        queryClass,
                        TableGroupScanner.tableGroup(body),
                        (long) (message.wait * 1000),
                        body));
        for (Attempt attempt = out.poll(); attempt != null; attempt = out.poll()) {
            ring.put(
                    Resp.array(
                            Resp.ascii(attempt.request().id()),
                            Resp.ascii("DONE"),
                            Resp.ascii("sheets=1,stats=util:0.2;inflight:1"),
                            attempt.request().body()));
            byte[][] answer = Resp.take(ring);
            gateway.attemptEnded(
                    attempt,
                    AttemptOutcome.OK,
                    RespFields.report(
                            RespFields.parse(new String(answer[2], StandardCharsets.ISO_8859_1))
                                    .get("stats")),
                    new TextResult(answer[3]));
        }
    }

    @Override
    public void attach(Gateway to) {}

    @Override
    public void setAddress(long engine, InetSocketAddress address) {}

    @Override
    public void send(Attempt attempt) {
        out.add(attempt);
    }

    @Override
    public void stop(Attempt attempt) {}

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
        answers += JsonRpc.result(tag, ((TextResult) result).text()).length > 0 ? 1 : 0;
    }

    @Override
    public void rejected(long tag, long retryAfterMs) {
        answers++;
    }

    @Override
    public void failed(long tag, FailureReason why) {
        answers++;
    }
}
