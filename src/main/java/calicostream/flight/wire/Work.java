// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.wire;

import calicostream.flight.state.Prepared;
import com.google.protobuf.ByteString;
import io.grpc.Metadata;
import java.util.List;
import java.util.function.DoubleConsumer;

/** What an engine is asked to do for one request; commands are packed messages of Flight SQL. */
public sealed interface Work {
    /** Work with the headers that go with it to the engine. */
    record Job(Work work, Metadata headers) {}

    /** A prepared statement to run: how to make it at an engine, and what is bound to it. */
    record Bound(
            Prepared<List<Frame>, ByteString> statement,
            String action,
            ByteString request,
            List<Frame> rows) {}

    /**
     * GetFlightInfo, then DoGet of all its endpoints; {@code bound} is null but for a prepared
     * statement.
     */
    record Query(ByteString command, Bound bound, boolean streams) implements Work {}

    /** DoGet of what the engine gave tickets for before. */
    record Fetch(List<ByteString> tickets, boolean streams) implements Work {}

    /** DoPut without rows, or with those bound to a prepared statement. */
    record Update(ByteString command, Bound bound) implements Work {}

    /** DoPut of the rows that a client sends. */
    record Ingest(ByteString command, Upload upload) implements Work {}

    /** DoAction. */
    record Act(String type, ByteString body) implements Work {}

    /** GetSchema. */
    record Describe(ByteString command) implements Work {}

    /** GetFlightInfo alone. */
    record Plan(ByteString command) implements Work {}

    /** PollFlightInfo until the query is done; {@code progress} is told on the loop. */
    record Poll(ByteString command, DoubleConsumer progress) implements Work {}
}
