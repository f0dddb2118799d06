// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * How an entry or a read went, as its sender hears it: accepted by the machine, refused by the
 * machine under its own code, or failed in this layer with one of {@link ClusterException}.
 * Immutable by convention.
 *
 * @param index of the log at which this holds; a retry hears the index of the first time
 */
public record Outcome(Kind kind, long index, String code, byte[] answer) {
    /** Who spoke. */
    public enum Kind {
        ACCEPTED,
        REFUSED,
        FAILED
    }

    /** Larger answers stop the voter that made them: a machine has to keep within it. */
    public static final int MAX_ANSWER = 1 << 20;

    static Outcome of(long index, Effects effects) {
        return effects.accepted()
                ? new Outcome(Kind.ACCEPTED, index, "", effects.answer())
                : new Outcome(Kind.REFUSED, index, effects.refusal(), effects.answer());
    }

    /** {@code facts} are the numbers that the error is made of, in its constructor's order. */
    public static Outcome failed(long index, String code, long... facts) {
        Bytes.Writer out = new Bytes.Writer();
        for (long fact : facts) {
            out.i64(fact);
        }
        return new Outcome(Kind.FAILED, index, code, out.done());
    }

    public boolean accepted() {
        return kind == Kind.ACCEPTED;
    }

    /** The error of a {@link Kind#FAILED}. */
    public ClusterException error() {
        return ClusterException.of(code, new Bytes.Reader("facts of " + code, answer));
    }

    public void encode(Bytes.Writer out) {
        out.u8(kind.ordinal()).i64(index).text(code).blob(answer);
    }

    /**
     * @throws ClusterException.Malformed if there is no outcome next
     */
    public static Outcome decode(Bytes.Reader in) {
        int kind = in.u8();
        if (kind >= Kind.values().length) {
            throw in.malformed("no outcome is of kind " + kind);
        }
        return new Outcome(Kind.values()[kind], in.i64(), in.text(128), in.blob(MAX_ANSWER));
    }
}
