// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.wire;

import io.grpc.MethodDescriptor.Marshaller;
import io.grpc.StatusRuntimeException;
import java.io.InputStream;

/**
 * Reads a message that is none as null. gRPC logs an exception with its stack for each message that
 * a marshaller can't read, so that one client could fill the log.
 *
 * @param <T> the message
 */
final class TolerantMarshaller<T> implements Marshaller<T> {
    private final Marshaller<T> strict;

    TolerantMarshaller(Marshaller<T> strict) {
        this.strict = strict;
    }

    @Override
    public InputStream stream(T message) {
        return strict.stream(message);
    }

    @Override
    public T parse(InputStream stream) {
        try {
            return strict.parse(stream);
        } catch (StatusRuntimeException e) {
            return null;
        }
    }
}
