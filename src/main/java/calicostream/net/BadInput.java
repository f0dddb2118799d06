// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

/** Bytes that break the protocol of the connection they came on. */
public final class BadInput extends Exception {
    private static final long serialVersionUID = 1L;

    public BadInput(String message) {
        super(message);
    }
}
