// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import java.net.InetSocketAddress;

/** Addresses as every configuration and the change log write them. */
public final class NumericSocketAddress {
    private NumericSocketAddress() {}

    /** A numeric address and port; names are not looked up, as there is no DNS. */
    public static InetSocketAddress parse(String text) throws InvalidInputException {
        int colon = text.lastIndexOf(':');
        String host = colon < 1 ? "" : text.substring(0, colon);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
                return new InetSocketAddress(host, port);
            }
        } catch (IllegalArgumentException e) {
            // Told below, with the text itself.
        }
        throw new InvalidInputException("'" + text + "' is not an address and port");
    }
}
