// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/** Where requests come from. Each request that {@link Gateway#accept} took gets exactly one of these calls. */
public interface Front {
    /** All of the result, as the engine side delivered it. */
    void served(long tag, byte[] result);

    /** Turned away; trying again is harmless, best after this time. */
    void refused(long tag, long retryAfterMs);

    /** Failed, with nothing promised about its effect. */
    void failed(long tag, Failure why);

    /** Why a request failed. */
    enum Failure { DEADLINE, ENGINE }
}
