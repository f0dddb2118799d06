// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

/**
 * What is wrong with a directed link. Immutable.
 *
 * @param amount nanoseconds for DELAY, bytes a second for THROTTLE, bytes for RESET_AFTER and ROT;
 *     else without meaning
 */
record LinkFault(Kind kind, long amount) {
    enum Kind {
        NONE,
        /**
         * Connections are closed, and new ones as soon as they come; what was under way is lost.
         */
        CUT,
        /** Connections stay, and new ones are taken; bytes wait, and go on once it is over. */
        STALL,
        /**
         * New connections are taken and nothing is read from any, so that the sender's own buffers
         * fill.
         */
        MUTE,
        /**
         * Everything is taken and nothing passed on; once it is over the connections end, as their
         * streams have a hole.
         */
        SWALLOW,
        /** Each byte comes later by this much. */
        DELAY,
        THROTTLE,
        /** Each connection is reset once it has passed so many bytes. */
        RESET_AFTER,
        /** One bit is changed in each so many bytes. */
        ROT
    }

    static final LinkFault NONE = new LinkFault(Kind.NONE, 0);
    static final LinkFault CUT = new LinkFault(Kind.CUT, 0);
    static final LinkFault STALL = new LinkFault(Kind.STALL, 0);
    static final LinkFault MUTE = new LinkFault(Kind.MUTE, 0);
    static final LinkFault SWALLOW = new LinkFault(Kind.SWALLOW, 0);

    LinkFault {
        if (amount <= 0
                && (kind == Kind.DELAY
                        || kind == Kind.THROTTLE
                        || kind == Kind.RESET_AFTER
                        || kind == Kind.ROT)) {
            throw new IllegalArgumentException(kind + " needs an amount");
        }
    }

    static LinkFault delay(long millis) {
        return new LinkFault(Kind.DELAY, millis * 1_000_000);
    }

    static LinkFault throttle(long bytesPerSecond) {
        return new LinkFault(Kind.THROTTLE, bytesPerSecond);
    }

    static LinkFault resetAfter(long bytes) {
        return new LinkFault(Kind.RESET_AFTER, bytes);
    }

    static LinkFault rot(long everyBytes) {
        return new LinkFault(Kind.ROT, everyBytes);
    }
}
