// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.lease.LeaseHolder.Phase;

/**
 * Typed access to one member's bytes in a {@link LeaseModelState}: its holder, its session, and its
 * messages in transit. This is a view; writes change the underlying state. Times are stored as
 * distances from the current time of the member's own clock, so that equivalent situations are
 * equal states and the number of states is finite.
 */
final class LeaseModelMember {
    /** Maximum number of copies of a member's commands that are in transit at the same time. */
    static final int MAX_COPIES = 2;

    /** The session is alive. */
    static final int SESSION_ALIVE = 0;

    /** The session has ended, and the member does not know it yet. */
    static final int SESSION_ENDED = 1;

    /** The session has ended, and the member knows it. */
    static final int SESSION_END_KNOWN = 2;

    /** The time on every clock when a production class is called. */
    static final long NOW = 1_000_000;

    /** The request number of each member's most recent command. */
    static final int REQUEST_NUMBER = 10;

    // Offsets of the holder's fields.
    private static final int PHASE = 0;
    private static final int WANTED = 1;
    private static final int TOKEN = 2;
    private static final int LAST_ENDED_TOKEN = 3;
    private static final int SINCE_REQUEST = 4;
    private static final int UNTIL_EXPIRY = 5;
    private static final int UNTIL_NEXT_REQUEST = 6;
    private static final int SUCCESSOR = 7;

    // Offsets of the messages. The comments list the bytes of multi-byte fields.
    private static final int COMMAND = 8; // outstanding command: kind, token
    private static final int COPIES = 10; // commands in transit, each: kind, token, outdated
    private static final int COPY_BYTES = 3;
    private static final int APPLIED_ANSWER = 16; // outstanding command: 1 if applied, kind, token
    private static final int ANSWER = 19; // answer in transit: kind, token
    private static final int GRANT_EVENT = 21; // token of the grant event in transit

    // Offsets of the session and of the remaining actions.
    private static final int SESSION = 22;
    private static final int CHECKED_TOKEN = 23; // token of an action in transit to the resource
    private static final int RESOURCE_ACTIONS_LEFT = 24;
    private static final int LOG_ACTIONS_LEFT = 25;
    private static final int STOPS_LEFT = 26;

    /** Number of bytes of one member. */
    static final int BYTES = 27;

    private final byte[] bytes;
    private final int offset;

    LeaseModelMember(byte[] bytes, int offset) {
        this.bytes = bytes;
        this.offset = offset;
    }

    private byte get(int field) {
        return bytes[offset + field];
    }

    private void set(int field, long value) {
        bytes[offset + field] = (byte) value;
    }

    void initialize(LeaseModelBounds bounds) {
        set(WANTED, 1);
        set(SUCCESSOR, LeaseHolder.NO_SUCCESSOR);
        set(RESOURCE_ACTIONS_LEFT, bounds.resourceActions());
        set(LOG_ACTIONS_LEFT, bounds.logActions());
        set(STOPS_LEFT, bounds.stops());
    }

    Phase phase() {
        return Phase.values()[get(PHASE)];
    }

    boolean isHeld() {
        return get(PHASE) == Phase.HELD.ordinal();
    }

    boolean isWanted() {
        return get(WANTED) != 0;
    }

    void setWanted() {
        set(WANTED, 1);
    }

    byte token() {
        return get(TOKEN);
    }

    /** Creates the production holder in this state. */
    LeaseHolder createHolder(LeaseComponents components, long ttlUnits) {
        return components.createHolder(
                LeaseTransitions.LEASE,
                ttlUnits,
                new LeaseHolderState(
                        phase(),
                        isWanted(),
                        token(),
                        get(LAST_ENDED_TOKEN),
                        REQUEST_NUMBER,
                        isHolderCommandPending(),
                        NOW - get(SINCE_REQUEST),
                        NOW + get(UNTIL_EXPIRY),
                        NOW + get(UNTIL_NEXT_REQUEST),
                        get(SUCCESSOR)));
    }

    /**
     * Stores a holder's state. Times that its phase does not use are stored as 0, which reduces the
     * number of states.
     */
    void storeHolder(LeaseHolder holder, long ttlUnits) {
        LeaseHolderState state = holder.state();
        Phase phase = state.phase();
        boolean pending = state.requestPending();
        boolean usesValidity = phase == Phase.HELD || phase == Phase.IDLE;
        boolean usesNextRequest = (phase == Phase.HELD || phase == Phase.WAITING) && !pending;
        set(PHASE, phase.ordinal());
        set(WANTED, state.wanted() ? 1 : 0);
        set(TOKEN, state.token());
        set(LAST_ENDED_TOKEN, state.lastEndedToken());
        set(SINCE_REQUEST, pending ? Math.min(ttlUnits, NOW - state.requestedAt()) : 0);
        set(UNTIL_EXPIRY, usesValidity ? Math.max(0, state.validUntil() - NOW) : 0);
        set(UNTIL_NEXT_REQUEST, usesNextRequest ? Math.max(0, state.nextRequestAt() - NOW) : 0);
        set(SUCCESSOR, state.successor());
        if (!pending && isHolderCommandPending()) {
            clearCommand();
        }
    }

    /** Advances the member's clock. */
    void advanceClock(int units, long ttlUnits) {
        if (isHolderCommandPending()) {
            set(SINCE_REQUEST, Math.min(ttlUnits, get(SINCE_REQUEST) + units));
        }
        set(UNTIL_EXPIRY, Math.max(0, get(UNTIL_EXPIRY) - units));
        set(UNTIL_NEXT_REQUEST, Math.max(0, get(UNTIL_NEXT_REQUEST) - units));
    }

    /** Kind of the command whose outcome is outstanding; 0 if there is none. */
    byte commandKind() {
        return get(COMMAND);
    }

    byte commandToken() {
        return get(COMMAND + 1);
    }

    boolean hasCommand() {
        return commandKind() != 0;
    }

    void setCommand(byte kind, byte token) {
        set(COMMAND, kind);
        set(COMMAND + 1, token);
    }

    void clearCommand() {
        setCommand((byte) 0, (byte) 0);
    }

    /** Whether the outstanding command is the holder's own, and not an action in the log. */
    private boolean isHolderCommandPending() {
        return hasCommand() && commandKind() != LeaseTransitions.FENCED_ACTION;
    }

    /** Kind of a command in transit; 0 if there is none at the index. */
    byte copyKind(int index) {
        return get(COPIES + index * COPY_BYTES);
    }

    byte copyToken(int index) {
        return get(COPIES + index * COPY_BYTES + 1);
    }

    /** Whether a command in transit is a copy of an earlier command. */
    boolean isCopyOutdated(int index) {
        return get(COPIES + index * COPY_BYTES + 2) != 0;
    }

    void setCopy(int index, byte kind, byte token, boolean outdated) {
        set(COPIES + index * COPY_BYTES, kind);
        set(COPIES + index * COPY_BYTES + 1, token);
        set(COPIES + index * COPY_BYTES + 2, outdated ? 1 : 0);
    }

    void clearCopy(int index) {
        setCopy(index, (byte) 0, (byte) 0, false);
    }

    /** Whether the outstanding command was applied, and the session has stored its answer. */
    boolean isCommandApplied() {
        return get(APPLIED_ANSWER) != 0;
    }

    byte appliedAnswer() {
        return get(APPLIED_ANSWER + 1);
    }

    byte appliedAnswerToken() {
        return get(APPLIED_ANSWER + 2);
    }

    void setApplied(byte answer, byte answerToken) {
        set(APPLIED_ANSWER, 1);
        set(APPLIED_ANSWER + 1, answer);
        set(APPLIED_ANSWER + 2, answerToken);
    }

    void clearApplied() {
        set(APPLIED_ANSWER, 0);
        set(APPLIED_ANSWER + 1, 0);
        set(APPLIED_ANSWER + 2, 0);
    }

    /** Kind of the answer in transit; 0 if there is none. */
    byte answer() {
        return get(ANSWER);
    }

    byte answerToken() {
        return get(ANSWER + 1);
    }

    void setAnswer(byte answer, byte answerToken) {
        set(ANSWER, answer);
        set(ANSWER + 1, answerToken);
    }

    void clearAnswer() {
        setAnswer((byte) 0, (byte) 0);
    }

    /** Token of the grant event in transit; 0 if there is none. */
    byte grantEvent() {
        return get(GRANT_EVENT);
    }

    void setGrantEvent(byte token) {
        set(GRANT_EVENT, token);
    }

    int session() {
        return get(SESSION);
    }

    void setSession(int session) {
        set(SESSION, session);
    }

    /**
     * Token of the action that passed the holder's check and is in transit to the resource; 0 if
     * there is none.
     */
    byte checkedToken() {
        return get(CHECKED_TOKEN);
    }

    void setCheckedToken(byte token) {
        set(CHECKED_TOKEN, token);
    }

    int resourceActionsLeft() {
        return get(RESOURCE_ACTIONS_LEFT);
    }

    void consumeResourceAction() {
        set(RESOURCE_ACTIONS_LEFT, get(RESOURCE_ACTIONS_LEFT) - 1);
    }

    int logActionsLeft() {
        return get(LOG_ACTIONS_LEFT);
    }

    void consumeLogAction() {
        set(LOG_ACTIONS_LEFT, get(LOG_ACTIONS_LEFT) - 1);
    }

    int stopsLeft() {
        return get(STOPS_LEFT);
    }

    void consumeStop() {
        set(STOPS_LEFT, get(STOPS_LEFT) - 1);
    }
}
