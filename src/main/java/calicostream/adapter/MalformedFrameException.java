// SPDX-License-Identifier: Apache-2.0
package calicostream.adapter;

/** Input breaks the simulator's protocol; the message is shown to the operator as it is. */
final class MalformedFrameException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
        super(message);
    }
}
