// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.core.Engines;
import calicostream.core.Gateway;
import calicostream.core.Service;
import calicostream.net.Loop;
import java.util.List;
import java.util.function.Function;

/**
 * What a {@link Node} is put together from. Whoever composes the program makes these parts on one
 * thread and hands them over; from then on they are the loop's, and end with it. {@code text} turns
 * a result, as {@code engines} give it, into rows of text.
 */
public record Parts(
        Descriptors descriptors,
        Loop loop,
        Gateway gateway,
        Engines engines,
        Function<Object, byte[]> text,
        List<Service> services) {
    public Parts {
        services = List.copyOf(services);
    }
}
