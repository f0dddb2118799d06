// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.CommandEffects;

/**
 * What happened to a lease, told at every copy of the machine, perhaps more than once and late:
 * news, never an order. Immutable.
 */
public sealed interface LeaseEvent {
    String name();

    long token();

    /**
     * That session holds from now on. It is told so that one who waited confirms by {@link
     * LeaseCommand.Renew}.
     */
    record Granted(String name, long token, long session) implements LeaseEvent {}

    /** Nobody holds under that token any longer. */
    record Freed(String name, long token, Why why) implements LeaseEvent {}

    /** The holder did this in the log. */
    record Acted(String name, long token, byte[] payload) implements LeaseEvent {}

    /** Why a lease ended. */
    enum Why {
        RELEASED,
        TRANSFERRED,
        EXPIRED
    }

    /**
     * A grant concerns its holder, an act everybody; that something ended is for whoever watches a
     * copy.
     */
    default CommandEffects.Event encode() {
        BinaryCodec.Writer out = new BinaryCodec.Writer().text(name()).i64(token());
        if (this instanceof Granted g) {
            return new CommandEffects.Event(
                    "lease-granted", out.i64(g.session).toByteArray(), g.session);
        }
        if (this instanceof Freed f) {
            return new CommandEffects.Event("lease-freed", out.u8(f.why.ordinal()).toByteArray());
        }
        return new CommandEffects.Event(
                "lease-acted",
                out.blob(((Acted) this).payload).toByteArray(),
                CommandEffects.Event.ALL_MEMBERS);
    }

    /**
     * @throws calicostream.cluster.ClusterException.Malformed if it is no event of a lease
     */
    static LeaseEvent decode(CommandEffects.Event event) {
        BinaryCodec.Reader in = new BinaryCodec.Reader(event.kind(), event.body());
        String name = in.text(LeaseLimits.NAME);
        long token = in.i64();
        LeaseEvent read =
                switch (event.kind()) {
                    case "lease-granted" -> new Granted(name, token, in.i64());
                    case "lease-freed" -> {
                        int why = in.u8();
                        if (why >= Why.values().length) {
                            throw in.malformed("no reason has the number " + why);
                        }
                        yield new Freed(name, token, Why.values()[why]);
                    }
                    case "lease-acted" -> new Acted(name, token, in.blob(LeaseLimits.PAYLOAD));
                    default -> throw in.malformed("no event of a lease");
                };
        in.requireEnd();
        return read;
    }
}
