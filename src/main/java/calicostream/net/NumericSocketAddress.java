// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Parses socket addresses as configurations and the endpoint list write them. */
public final class NumericSocketAddress {
    private static final Pattern NUMERIC_HOST = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+]");

    private NumericSocketAddress() {}

    /**
     * Parses a numeric address and a port, as in {@code 10.0.0.1:80} or {@code [::1]:80}. Host
     * names are rejected: looking one up would block the event loop.
     *
     * @throws InvalidInputException where the text is no such address
     */
    public static InetSocketAddress parse(String text) throws InvalidInputException {
        int colon = text.lastIndexOf(':');
        String host = colon < 1 ? "" : text.substring(0, colon);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (NUMERIC_HOST.matcher(host).matches()) {
                return new InetSocketAddress(host, port);
            }
        } catch (IllegalArgumentException e) {
            // Reported below, with the text itself.
        }
        throw new InvalidInputException("'" + text + "' is not an address and port");
    }
}
