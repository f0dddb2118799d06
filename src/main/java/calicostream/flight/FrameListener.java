// SPDX-License-Identifier: Apache-2.0
package calicostream.flight;

import calicostream.flight.wire.FlightFrame;
import calicostream.flight.wire.FlightWire;
import com.google.protobuf.ByteString;
import java.util.List;
import org.apache.arrow.flight.FlightProducer;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.dictionary.DictionaryProvider;
import org.apache.arrow.vector.ipc.message.IpcOption;

/** Takes what a producer of Arrow's library would send, as frames. */
public final class FrameListener implements FlightProducer.ServerStreamListener {
    private final List<FlightFrame> out;
    private VectorSchemaRoot root;

    public FrameListener(List<FlightFrame> out) {
        this.out = out;
    }

    @Override
    public void start(VectorSchemaRoot from, DictionaryProvider dictionaries, IpcOption option) {
        root = from;
        out.add(
                FlightFrame.of(
                        ByteString.EMPTY,
                        FlightWire.schemaHeader(from.getSchema()),
                        ByteString.EMPTY,
                        ByteString.EMPTY));
    }

    @Override
    public void putNext() {
        out.add(ArrowRows.batch(root));
    }

    @Override
    public void putNext(org.apache.arrow.memory.ArrowBuf metadata) {
        putNext();
    }

    @Override
    public void putMetadata(org.apache.arrow.memory.ArrowBuf metadata) {}

    @Override
    public void error(Throwable error) {
        throw new IllegalStateException(error);
    }

    @Override
    public void completed() {}

    @Override
    public boolean isCancelled() {
        return false;
    }

    @Override
    public void setOnCancelHandler(Runnable handler) {}

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public void setOnReadyHandler(Runnable handler) {}

    @Override
    public void setUseZeroCopy(boolean enabled) {}
}
