// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.lease.LeaseHolder.Phase;

/**
 * Typed access to one member's bytes in a {@link LeaseModelState}: its holder, its session, and its
 * messages under way. A view; writes change the state that it was taken from. Times are stored as
 * distances from the present by the member's own clock, so that states recur and are finitely many.
 */
final class LeaseModelMember {
    /** Commands of one member that may be under way at a time. */
    static final int COPIES = 2;

    /** The session is alive. */
    static final int SESSION_ALIVE = 0;

    /** The session has ended, and the member has not learned of it. */
    static final int SESSION_ENDED = 1;

    /** The session has ended, and the member knows. */
    static final int SESSION_END_KNOWN = 2;

    /** What every clock shows when a class of the product is called. */
    static final long NOW = 1_000_000;

    /** The number of a member's last command. */
    static final int REQUEST_NUMBER = 10;

    // Offsets of the holder's state.
    private static final int PHASE = 0;
    private static final int WANTED = 1;
    private static final int TOKEN = 2;
    private static final int LAST_ENDED_TOKEN = 3;
    private static final int REQUESTED_AGO = 4;
    private static final int VALID_FOR = 5;
    private static final int NEXT_REQUEST_IN = 6;
    private static final int SUCCESSOR = 7;

    // Offsets of messages.
    private static final int COMMAND = 8; // without outcome: kind, token
    private static final int COPIES_AT = 10; // of commands under way: kind, token, outdated
    private static final int COPY_BYTES = 3;
    private static final int APPLIED = 16; // 1 if the command was; its answer: kind, token
    private static final int ANSWER = 19; // under way: kind, token
    private static final int GRANT_EVENT = 21; // under way: token

    // Offsets of the rest.
    private static final int SESSION = 22;
    private static final int CHECKED_TOKEN = 23; // of an action that is under way to the resource
    private static final int RESOURCE_ACTIONS_LEFT = 24;
    private static final int LOG_ACTIONS_LEFT = 25;
    private static final int STOPS_LEFT = 26;

    /** Bytes of one member. */
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

    // ---- Holder

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

    /** The product's holder in this state. */
    LeaseHolder holder(LeaseComponents components, long ttlUnits) {
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
                        NOW - get(REQUESTED_AGO),
                        NOW + get(VALID_FOR),
                        NOW + get(NEXT_REQUEST_IN),
                        get(SUCCESSOR)));
    }

    /** Stores a holder's state, and of its times only those that can still matter. */
    void store(LeaseHolder holder, long ttlUnits) {
        LeaseHolderState state = holder.state();
        Phase phase = state.phase();
        boolean pending = state.requestPending();
        boolean usesValidity = phase == Phase.HELD || phase == Phase.IDLE;
        boolean usesNextRequest = (phase == Phase.HELD || phase == Phase.WAITING) && !pending;
        set(PHASE, phase.ordinal());
        set(WANTED, state.wanted() ? 1 : 0);
        set(TOKEN, state.token());
        set(LAST_ENDED_TOKEN, state.lastEndedToken());
        set(REQUESTED_AGO, pending ? Math.min(ttlUnits, NOW - state.requestedAt()) : 0);
        set(VALID_FOR, usesValidity ? Math.max(0, state.validUntil() - NOW) : 0);
        set(NEXT_REQUEST_IN, usesNextRequest ? Math.max(0, state.nextRequestAt() - NOW) : 0);
        set(SUCCESSOR, state.successor());
        if (!pending && isHolderCommandPending()) {
            clearCommand();
        }
    }

    /** Advances the member's clock. */
    void advanceClock(int units, long ttlUnits) {
        if (isHolderCommandPending()) {
            set(REQUESTED_AGO, Math.min(ttlUnits, get(REQUESTED_AGO) + units));
        }
        set(VALID_FOR, Math.max(0, get(VALID_FOR) - units));
        set(NEXT_REQUEST_IN, Math.max(0, get(NEXT_REQUEST_IN) - units));
    }

    // ---- Commands and answers

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
        return hasCommand() && commandKind() != LeaseTransitions.ACT;
    }

    /** Kind of a command under way; 0 if there is none at that index. */
    byte copyKind(int index) {
        return get(COPIES_AT + index * COPY_BYTES);
    }

    byte copyToken(int index) {
        return get(COPIES_AT + index * COPY_BYTES + 1);
    }

    /** Whether a command under way has the number of an earlier command. */
    boolean isCopyOutdated(int index) {
        return get(COPIES_AT + index * COPY_BYTES + 2) != 0;
    }

    void setCopy(int index, byte kind, byte token, boolean outdated) {
        set(COPIES_AT + index * COPY_BYTES, kind);
        set(COPIES_AT + index * COPY_BYTES + 1, token);
        set(COPIES_AT + index * COPY_BYTES + 2, outdated ? 1 : 0);
    }

    void clearCopy(int index) {
        setCopy(index, (byte) 0, (byte) 0, false);
    }

    /** Whether the outstanding command was applied, and its answer is stored in the session. */
    boolean isApplied() {
        return get(APPLIED) != 0;
    }

    byte appliedAnswer() {
        return get(APPLIED + 1);
    }

    byte appliedAnswerToken() {
        return get(APPLIED + 2);
    }

    void setApplied(byte answer, byte answerToken) {
        set(APPLIED, 1);
        set(APPLIED + 1, answer);
        set(APPLIED + 2, answerToken);
    }

    void clearApplied() {
        set(APPLIED, 0);
        set(APPLIED + 1, 0);
        set(APPLIED + 2, 0);
    }

    /** Kind of the answer under way; 0 if there is none. */
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

    /** Token of the grant event under way; 0 if there is none. */
    byte grantEvent() {
        return get(GRANT_EVENT);
    }

    void setGrantEvent(byte token) {
        set(GRANT_EVENT, token);
    }

    // ---- Session and actions

    int session() {
        return get(SESSION);
    }

    void setSession(int session) {
        set(SESSION, session);
    }

    /** Token of the action that was checked and has not reached the resource; 0 if none. */
    byte checkedToken() {
        return get(CHECKED_TOKEN);
    }

    void setCheckedToken(byte token) {
        set(CHECKED_TOKEN, token);
    }

    int resourceActionsLeft() {
        return get(RESOURCE_ACTIONS_LEFT);
    }

    void useResourceAction() {
        set(RESOURCE_ACTIONS_LEFT, get(RESOURCE_ACTIONS_LEFT) - 1);
    }

    int logActionsLeft() {
        return get(LOG_ACTIONS_LEFT);
    }

    void useLogAction() {
        set(LOG_ACTIONS_LEFT, get(LOG_ACTIONS_LEFT) - 1);
    }

    int stopsLeft() {
        return get(STOPS_LEFT);
    }

    void useStop() {
        set(STOPS_LEFT, get(STOPS_LEFT) - 1);
    }
}
