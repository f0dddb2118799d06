// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * The outcome of an entry or a read as its sender receives it: accepted by the state machine,
 * rejected by it under its own code, or failed in this layer with a {@link ClusterException}.
 * Immutable by convention.
 *
 * @param kind which of the three
 * @param index of the log at which the outcome holds; a retry gets the index of the first attempt
 * @param code of the rejection or failure; empty if accepted
 * @param response in the state machine's own encoding; the encoded facts of a failure
 */
public record CommandOutcome(Kind kind, long index, String code, byte[] response) {
    /** The longest code, in bytes. */
    private static final int MAX_CODE_BYTES = 128;

    /** A state machine must not return more; a larger response stops the voter. */
    public static final int MAX_RESPONSE_BYTES = 1 << 20;

    /** How a command ended. */
    public enum Kind {
        /** Applied by the state machine. */
        ACCEPTED(0),
        /** Rejected by the state machine, which did not change. */
        REJECTED(1),
        /** Failed in this layer. */
        FAILED(2);

        private final int wireValue;

        Kind(int wireValue) {
            this.wireValue = wireValue;
        }

        private static Kind decode(BinaryCodec.Reader in) {
            int value = in.u8();
            for (Kind kind : values()) {
                if (kind.wireValue == value) {
                    return kind;
                }
            }
            throw in.malformed("unknown kind of outcome " + value);
        }
    }

    static CommandOutcome of(long index, CommandEffects effects) {
        return effects.isAccepted()
                ? accepted(index, effects.response())
                : new CommandOutcome(
                        Kind.REJECTED, index, effects.rejectionCode(), effects.response());
    }

    static CommandOutcome accepted(long index, byte[] response) {
        return new CommandOutcome(Kind.ACCEPTED, index, "", response);
    }

    /** Accepted with an empty response. */
    static CommandOutcome accepted(long index) {
        return accepted(index, new byte[0]);
    }

    /**
     * Makes the outcome that {@link #error} decodes into an exception.
     *
     * @param index of the log; 0 if the command did not get there
     * @param code of a {@link ClusterException}
     * @param facts the numbers that the exception is made of, in its constructor's order
     */
    public static CommandOutcome failed(long index, String code, long... facts) {
        BinaryCodec.Writer out = new BinaryCodec.Writer();
        for (long fact : facts) {
            out.i64(fact);
        }
        return new CommandOutcome(Kind.FAILED, index, code, out.toByteArray());
    }

    /** Whether the state machine applied the command. */
    public boolean isAccepted() {
        return kind == Kind.ACCEPTED;
    }

    /** Whether the command failed in this layer with the given code. */
    boolean isFailure(String failureCode) {
        return kind == Kind.FAILED && code.equals(failureCode);
    }

    /** The exception of a {@link Kind#FAILED} outcome. */
    public ClusterException error() {
        return ClusterException.of(code, new BinaryCodec.Reader("facts of " + code, response));
    }

    /** Appends this outcome to {@code out}. */
    public void encode(BinaryCodec.Writer out) {
        out.u8(kind.wireValue).i64(index).text(code).blob(response);
    }

    /**
     * Reads an outcome.
     *
     * @throws ClusterException.Malformed if the next bytes are not an outcome
     */
    public static CommandOutcome decode(BinaryCodec.Reader in) {
        return new CommandOutcome(
                Kind.decode(in), in.i64(), in.text(MAX_CODE_BYTES), in.blob(MAX_RESPONSE_BYTES));
    }
}
