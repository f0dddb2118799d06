// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.wire;

import io.grpc.Status;

/**
 * Rows that a client sends, drawn by the engine side as fast as its engine takes them. The first
 * frame, the schema, can be sent again; from the first further frame on, no other engine may have
 * them. An engine that has the upload's end has the whole request, with rows or without. Calls into
 * it may come from any thread.
 */
public final class Upload {
    /** What may have gone to engines, beside the schema. */
    public enum Sent {
        /** No engine has a whole request. */
        NOTHING,
        /** An engine may have the whole request, which has no rows. */
        END,
        /** An engine may have rows, which can't be sent again. */
        ROWS
    }

    /** Where the frames go. */
    public interface Receiver {
        void frame(FlightFrame frame);

        void end();
    }

    /** The client's side. */
    public interface Source {
        /** Asks for one more frame. */
        void request();
    }

    private final FlightFrame schema;
    private final Source source;
    private Receiver receiver;
    private Sent sent = Sent.NOTHING;
    private boolean ended, wanted, requested, dropped;
    private FlightFrame waiting;

    /** {@code schema} is on the heap. */
    public Upload(FlightFrame schema, Source source) {
        this.schema = schema;
        this.source = source;
    }

    public FlightFrame schema() {
        return schema;
    }

    /** An engine is tried, or none (null); false if rows have gone to one already. */
    public synchronized boolean to(Receiver next) {
        if (sent == Sent.ROWS) {
            return false;
        }
        receiver = next;
        wanted = false;
        return true;
    }

    /**
     * The receiver's engine has ended; what may have gone to engines. Nothing goes to this one any
     * more: a frame that comes now waits for the next receiver.
     */
    public synchronized Sent leave(Receiver who) {
        if (who == receiver) {
            receiver = null;
            wanted = false;
        }
        return sent;
    }

    /** Whether rows, or the end of an upload without rows, may have gone to an engine. */
    public synchronized boolean mayHaveRun() {
        return sent != Sent.NOTHING;
    }

    private void markEndSent() {
        sent = sent == Sent.ROWS ? Sent.ROWS : Sent.END;
    }

    /** The engine takes one more frame. */
    public void draw(Receiver who) {
        FlightFrame now;
        boolean end, ask;
        synchronized (this) {
            if (who != receiver) {
                return;
            }
            now = waiting;
            waiting = null;
            end = now == null && ended;
            if (now != null) {
                sent = Sent.ROWS;
            } else if (end) {
                markEndSent();
            }
            wanted = now == null && !end;
            ask = wanted && !requested;
            requested |= ask;
        }
        if (now != null) {
            who.frame(now);
        } else if (end) {
            who.end();
        } else if (ask) {
            source.request();
        }
    }

    /** From the client: a frame that was asked for. */
    public void frame(FlightFrame frame) {
        Receiver to;
        synchronized (this) {
            requested = false;
            to = wanted ? receiver : null;
            wanted = false;
            if (to != null) {
                sent = Sent.ROWS;
            } else if (!dropped) {
                waiting = frame;
                return;
            }
        }
        if (to != null) {
            to.frame(frame);
        } else {
            frame.release();
        }
    }

    /** From the client: that was all. */
    public void end() {
        Receiver to;
        synchronized (this) {
            ended = true;
            to = wanted ? receiver : null;
            wanted = false;
            if (to != null) {
                markEndSent();
            }
        }
        if (to != null) {
            to.end();
        }
    }

    /** The request is over: what still comes goes nowhere. */
    public void drop() {
        FlightFrame left;
        synchronized (this) {
            dropped = true;
            receiver = null;
            wanted = false;
            left = waiting;
            waiting = null;
        }
        if (left != null) {
            left.release();
        }
    }

    /** What a client hears whose rows may be stored in part. */
    public static Status unknown(String why) {
        return Status.UNKNOWN.withDescription(
                why + "; the outcome is unknown: rows may be stored, in part or all");
    }
}
