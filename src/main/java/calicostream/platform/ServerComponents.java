// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.core.EngineClient;
import calicostream.core.Gateway;
import calicostream.core.RequestResult;
import calicostream.core.Service;
import calicostream.net.SelectorLoop;
import java.util.List;
import java.util.function.Function;

/**
 * The components of a {@link FrontEndServer}. They are created on one thread before the server;
 * from then on only the event loop's thread uses them, and they end with the loop.
 *
 * @param descriptors the division of file descriptors
 * @param loop the event loop
 * @param gateway the gateway
 * @param engines the client for all engines
 * @param encoder encodes a result of {@code engines} as rows of text
 * @param services further servers that run on the loop
 */
public record ServerComponents(
        Descriptors descriptors,
        SelectorLoop loop,
        Gateway gateway,
        EngineClient engines,
        Function<RequestResult, byte[]> encoder,
        List<Service> services) {
    /** Copies the list of services. */
    public ServerComponents {
        services = List.copyOf(services);
    }
}
