// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.wire;

import calicostream.core.RequestOperation;
import calicostream.flight.state.EngineConnection;
import calicostream.flight.state.PreparedStatement;
import com.google.protobuf.ByteString;
import io.grpc.Metadata;
import java.util.List;
import java.util.function.DoubleConsumer;

/** What an engine is asked to do for one request; commands are packed messages of Flight SQL. */
public sealed interface EngineOperation {
    /**
     * Work with the headers that go with it to the engine, and the only connection on which it may
     * be sent.
     */
    record Job(EngineOperation work, Metadata headers, EngineConnection connection)
            implements RequestOperation {}

    /** A prepared statement to run: how to make it at an engine, and what is bound to it. */
    record Bound(
            PreparedStatement<List<FlightFrame>, ByteString> statement,
            String action,
            ByteString request,
            List<FlightFrame> rows) {}

    /**
     * GetFlightInfo, then DoGet of all its endpoints; {@code bound} is null but for a prepared
     * statement.
     */
    record Query(ByteString command, Bound bound, boolean streams) implements EngineOperation {}

    /** DoGet of what the engine gave tickets for before. */
    record Fetch(List<ByteString> tickets, boolean streams) implements EngineOperation {}

    /** DoPut without rows, or with those bound to a prepared statement. */
    record Update(ByteString command, Bound bound) implements EngineOperation {}

    /** DoPut of the rows that a client sends. */
    record Ingest(ByteString command, Upload upload) implements EngineOperation {}

    /** DoAction. */
    record Act(String type, ByteString body) implements EngineOperation {}

    /** GetSchema. */
    record Describe(ByteString command) implements EngineOperation {}

    /** GetFlightInfo alone. */
    record Plan(ByteString command) implements EngineOperation {}

    /** PollFlightInfo until the query is done; {@code progress} is told on the loop. */
    record Poll(ByteString command, DoubleConsumer progress) implements EngineOperation {}
}
