// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/** Why a request failed. */
public enum FailureReason {
    /** Its deadline passed. */
    DEADLINE,
    /** Its engine failed it, or none could be found for it. */
    ENGINE,
    /** Its result stream broke after a part had gone to the client. */
    STREAM_BROKEN
}
