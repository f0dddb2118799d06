// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/** Why a request failed. */
public enum FailureReason {
    /** The deadline of the request passed. */
    DEADLINE,
    /** The engine failed the request, or no engine could be selected. */
    ENGINE,
    /** The result stream ended early, after a part of it was sent to the client. */
    STREAM_BROKEN
}
