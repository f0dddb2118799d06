// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * A message that members exchange over {@link PeerTransport}: consensus messages among voters,
 * members' requests with their replies, notifications, and the recovery handshake of a restarted
 * voter. Immutable by convention; {@link MemberMessageCodec} has the encoding.
 */
public sealed interface MemberMessage {
    /** What a {@link Request} asks for. */
    enum Operation {
        /** Append {@code body}, a {@link ReplicatedEntry}, to the log. */
        PROPOSE(0),
        /** Query a state machine through a quorum, so that the response is not stale. */
        READ(1),
        /** Query a state machine at the receiver's own copy; the reply tells its age. */
        LOCAL_READ(2);

        private final int wireValue;

        Operation(int wireValue) {
            this.wireValue = wireValue;
        }

        int wireValue() {
            return wireValue;
        }
    }

    /**
     * A message of the consensus library, in its own encoding.
     *
     * @param generation of the voter it is addressed to: a member's present voter must not answer
     *     for one of its former generations
     */
    record RaftMessage(int generation, byte[] message) implements MemberMessage {}

    /**
     * A member's request to a voter.
     *
     * @param id chosen by the sender, another one for each attempt
     * @param machine name of the state machine of a read; else empty
     * @param body the entry to propose, or the query in the state machine's encoding
     */
    record Request(long id, Operation operation, String machine, byte[] body)
            implements MemberMessage {}

    /**
     * A voter's reply.
     *
     * @param id of the request
     * @param ageNanos with {@link Operation#LOCAL_READ}, the greatest age of the state that was
     *     read; else 0
     */
    record Reply(long id, long ageNanos, CommandOutcome outcome) implements MemberMessage {}

    /**
     * An event that the leader reports to a member; may be lost, delayed or duplicated.
     *
     * @param machine name of the state machine that it happened in
     * @param index of the log at which it happened
     */
    record Notification(String machine, long index, CommandEffects.Event event)
            implements MemberMessage {}

    /**
     * A restarted voter asks a peer what that one remembers of it.
     *
     * @param nonce drawn for the asking process; comes back with the response
     */
    record RecoveryRequest(int generation, long incarnation, long nonce) implements MemberMessage {}

    /**
     * What a peer remembers of the asking voter from before it met its present incarnation.
     *
     * @param requestNonce the nonce of the request
     * @param generation of the responder
     * @param incarnation of the responder
     * @param nonce of the responder's process
     * @param seenIncarnation an incarnation of the asking voter that the responder had seen
     * @param term the latest term in which that one answered the responder
     * @param acknowledgedIndex the highest index that it acknowledged in that term
     * @param voteTerm the latest term in which it voted for the responder
     * @param groupHasCommitted whether the responder's group had committed anything
     */
    record RecoveryResponse(
            long requestNonce,
            int generation,
            long incarnation,
            long nonce,
            long seenIncarnation,
            long term,
            long acknowledgedIndex,
            long voteTerm,
            boolean groupHasCommitted)
            implements MemberMessage {}

    /** Encodes this message as one frame. */
    default byte[] encode() {
        return MemberMessageCodec.encode(this);
    }

    /**
     * Decodes a frame.
     *
     * @throws ClusterException.Malformed if the bytes are not a message of the known version
     */
    static MemberMessage decode(byte[] frame) {
        return MemberMessageCodec.decode(frame);
    }
}
