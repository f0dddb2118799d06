// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * How an entry or a read went, as its sender hears it: accepted by the machine, refused by the
 * machine under its own code, or failed in this layer with one of {@link ClusterException}.
 * Immutable by convention.
 *
 * @param index of the log at which this holds; a retry hears the index of the first time
 */
public record CommandOutcome(Kind kind, long index, String code, byte[] response) {
    /** Who spoke. */
    public enum Kind {
        ACCEPTED,
        REJECTED,
        FAILED
    }

    /** Larger answers stop the voter that made them: a machine has to keep within it. */
    public static final int MAX_RESPONSE_BYTES = 1 << 20;

    static CommandOutcome of(long index, CommandEffects effects) {
        return effects.isAccepted()
                ? new CommandOutcome(Kind.ACCEPTED, index, "", effects.response())
                : new CommandOutcome(
                        Kind.REJECTED, index, effects.rejectionCode(), effects.response());
    }

    /** {@code facts} are the numbers that the error is made of, in its constructor's order. */
    public static CommandOutcome failed(long index, String code, long... facts) {
        BinaryCodec.Writer out = new BinaryCodec.Writer();
        for (long fact : facts) {
            out.i64(fact);
        }
        return new CommandOutcome(Kind.FAILED, index, code, out.toByteArray());
    }

    public boolean isAccepted() {
        return kind == Kind.ACCEPTED;
    }

    /** The error of a {@link Kind#FAILED}. */
    public ClusterException error() {
        return ClusterException.of(code, new BinaryCodec.Reader("facts of " + code, response));
    }

    public void encode(BinaryCodec.Writer out) {
        out.u8(kind.ordinal()).i64(index).text(code).blob(response);
    }

    /**
     * @throws ClusterException.Malformed if there is no outcome next
     */
    public static CommandOutcome decode(BinaryCodec.Reader in) {
        int kind = in.u8();
        if (kind >= Kind.values().length) {
            throw in.malformed("no outcome is of kind " + kind);
        }
        return new CommandOutcome(
                Kind.values()[kind], in.i64(), in.text(128), in.blob(MAX_RESPONSE_BYTES));
    }
}
