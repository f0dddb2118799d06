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
 * What a {@link FrontEndServer} is put together from. Whoever composes the program makes these
 * parts on one thread and hands them over; from then on they are the loop's, and end with it.
 * {@code text} turns a result, as {@code engines} give it, into rows of text.
 */
public record ServerComponents(
        Descriptors descriptors,
        SelectorLoop loop,
        Gateway gateway,
        EngineClient engines,
        Function<RequestResult, byte[]> text,
        List<Service> services) {
    /** Copies the list of services. */
    public ServerComponents {
        services = List.copyOf(services);
    }
}
