// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.flight.wire.EngineResult;
import calicostream.flight.wire.FlightFrame;
import io.grpc.Status;
import java.util.ArrayDeque;
import java.util.List;

/**
 * A DoGet's answer. What is held goes out as its client takes it; what flows comes from the
 * engine's threads, so each frame and each end passes under this object's lock.
 */
final class ResultStream implements EngineResult.Sink {
    final ServerCall<FlightFrame> call;
    private final RequestDispatcher desk;
    private final ArrayDeque<FlightFrame> left = new ArrayDeque<>();
    private volatile Runnable onReady = () -> {};
    private EngineResult.Stream stream;
    private boolean closed, held;
    private long heldSince; // when its client last took nothing of what is held, or 0

    ResultStream(RequestDispatcher desk, ServerCall<FlightFrame> call) {
        this.desk = desk;
        this.call = call;
        call.out.setOnReadyHandler(() -> onReady.run());
    }

    // ---- What flows
    // ---------------------------------------------------------------------------------------
    /** On the loop. */
    void begin(EngineResult.Stream flowing) {
        stream = flowing;
        flowing.flow(this);
    }

    @Override
    public synchronized void frame(FlightFrame frame) {
        if (closed || call.out.isCancelled()) {
            frame.release();
        } else {
            call.out.onNext(frame);
        }
    }

    @Override
    public boolean isReady() {
        return call.out.isReady();
    }

    @Override
    public void onReady(Runnable then) {
        onReady = then;
    }

    // ---- What is held
    // -------------------------------------------------------------------------------------
    /** Sends these, then ends the call; {@code room} is given back when the call is over. */
    void send(List<FlightFrame> frames, Runnable room) {
        left.addAll(frames);
        held = true;
        call.setWaitingForClient(true);
        call.atEnd(
                () -> {
                    left.forEach(FlightFrame::release);
                    left.clear();
                    room.run();
                });
        onReady = () -> desk.loop.post(this::pump);
        pump();
    }

    private void pump() {
        if (call.isOver() || closed) {
            return;
        }
        while (!left.isEmpty()
                && (call.out.isReady() || left.size() == 1 && left.peek().bytes() < 1024)) {
            frame(left.poll());
            heldSince = 0;
        }
        if (left.isEmpty()) {
            complete();
        } else if (heldSince == 0) {
            heldSince = desk.now();
        }
    }

    // ---- Ends
    // ---------------------------------------------------------------------------------------------
    /** On the loop. */
    synchronized void complete() {
        if (!closed) {
            closed = true;
            call.complete();
        }
    }

    /**
     * On the loop. The call is over with it: what it holds is freed at once, though its client may
     * still have to read what was sent before the status.
     */
    void fail(Status status, long stayAwayMs) {
        if (close(status, stayAwayMs)) {
            call.end();
        }
    }

    private synchronized boolean close(Status status, long stayAwayMs) {
        if (closed) {
            return false;
        }
        closed = true;
        call.fail(status, stayAwayMs);
        return true;
    }

    /** Whether the client has taken nothing since then, though there is something to take. */
    boolean isStalledSince(long then) {
        long since = held ? heldSince : stream == null ? 0 : stream.stalledSince();
        return !closed && since > 0 && since <= then;
    }
}
