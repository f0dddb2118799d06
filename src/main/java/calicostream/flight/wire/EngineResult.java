// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.wire;

import calicostream.core.FinalStatus;
import calicostream.core.RequestResult;
import calicostream.core.ResultStreamHandle;
import calicostream.flight.state.EngineConnection;
import com.google.protobuf.ByteString;
import io.grpc.Status;
import java.util.List;
import org.apache.arrow.flight.impl.Flight;

/** What the engine side gives a front for {@link EngineOperation}. */
public final class EngineResult {
    private EngineResult() {}

    /**
     * A whole result; {@code room} gives back what it holds, once, when its frames have gone out or
     * been dropped.
     */
    public record Held(List<FlightFrame> frames, Runnable room) implements RequestResult {
        /** Nobody takes it. */
        public void drop() {
            frames.forEach(FlightFrame::release);
            room.run();
        }
    }

    /** The rows that an update changed, -1 where the engine does not know. */
    public record Counted(long rows) implements RequestResult {}

    /** What an action brought, and where. */
    public record Acted(EngineConnection connection, List<ByteString> results)
            implements RequestResult {}

    public record Described(ByteString schema) implements RequestResult {}

    /** Where the parts of a result are. */
    public record Planned(EngineConnection connection, Flight.FlightInfo info)
            implements RequestResult {}

    /** A final word on the request, which says nothing of its engine. */
    public record Word(Status status) implements FinalStatus {}

    /** A result that flows: from engine to sink, no faster than the sink takes it. */
    public interface Stream extends ResultStreamHandle {
        /** Begins to flow; called once, on the loop. */
        void flow(Sink sink);

        /** Since when the sink has taken nothing, in the loop's time, or 0 while it does. */
        long stalledSince();
    }

    /** Where a result flows to; frames come one after another, from changing threads. */
    public interface Sink {
        void frame(FlightFrame frame);

        boolean isReady();

        /** Runs, from now on, each time that the sink has become ready. */
        void onReady(Runnable then);
    }
}
