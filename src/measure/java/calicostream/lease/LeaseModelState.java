// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.Map;

/**
 * Typed access to a state of {@link LeaseModel}, which the explorer stores as bytes: the log, the
 * leader, the resource, what the invariants need of the past, and the members. Every time is stored
 * as a distance from the present by its owner's clock.
 */
final class LeaseModelState {
    private static final int MACHINE = 0; // three bytes: which snapshot
    private static final int LEADER = 3;
    private static final int LEADER_CHANGES_LEFT = 4;
    private static final int DUPLICATES_LEFT = 5;
    private static final int SESSION_ENDS_LEFT = 6;
    private static final int EXPIRY_TOKEN = 7; // of the leader's expiry under way
    private static final int EXPIRY_RENEWALS = 8;
    private static final int OBSERVED_TOKEN = 9;
    private static final int OBSERVED_RENEWALS = 10;
    private static final int OBSERVED_AGO = 11;
    private static final int RESOURCE_TOKEN = 12;
    private static final int LOG_TOKEN = 13;
    private static final int LOG_ACTIONS = 14; // a bit for each action that was applied
    private static final int GRANTED_TOKEN = 15;
    private static final int CLOCKS = 16;
    private static final int HEADER_BYTES = 17;

    private final byte[] bytes;

    /** A view of the bytes, which are not copied. */
    LeaseModelState(byte[] bytes) {
        this.bytes = bytes;
    }

    static LeaseModelState initial(LeaseModelBounds bounds, int clocks) {
        LeaseModelState state =
                new LeaseModelState(
                        new byte[HEADER_BYTES + bounds.members() * LeaseModelMember.BYTES]);
        state.bytes[CLOCKS] = (byte) clocks;
        state.bytes[LEADER_CHANGES_LEFT] = (byte) bounds.leaderChanges();
        state.bytes[DUPLICATES_LEFT] = (byte) bounds.duplicates();
        state.bytes[SESSION_ENDS_LEFT] = (byte) bounds.sessionEnds();
        for (int member = 0; member < bounds.members(); member++) {
            state.member(member).initialize(bounds);
        }
        return state;
    }

    LeaseModelState copy() {
        return new LeaseModelState(bytes.clone());
    }

    byte[] bytes() {
        return bytes;
    }

    LeaseModelMember member(int index) {
        return new LeaseModelMember(bytes, HEADER_BYTES + index * LeaseModelMember.BYTES);
    }

    /** Which of the bounds' clocks the state has. */
    int clocks() {
        return bytes[CLOCKS];
    }

    // ---- Log

    /** Identifier of the state machine's snapshot. */
    int machine() {
        return (bytes[MACHINE] & 0xff) << 16
                | (bytes[MACHINE + 1] & 0xff) << 8
                | bytes[MACHINE + 2] & 0xff;
    }

    void setMachine(int snapshotId) {
        bytes[MACHINE] = (byte) (snapshotId >> 16);
        bytes[MACHINE + 1] = (byte) (snapshotId >> 8);
        bytes[MACHINE + 2] = (byte) snapshotId;
    }

    /** The last token granted. */
    byte grantedToken() {
        return bytes[GRANTED_TOKEN];
    }

    void setGrantedToken(byte token) {
        bytes[GRANTED_TOKEN] = token;
    }

    /** The token of the last action applied. */
    byte logToken() {
        return bytes[LOG_TOKEN];
    }

    boolean isActionApplied(byte action) {
        return (bytes[LOG_ACTIONS] & action) != 0;
    }

    void setActionApplied(byte action, byte token) {
        bytes[LOG_ACTIONS] |= action;
        bytes[LOG_TOKEN] = token;
    }

    // ---- Leader

    int leaderChangesLeft() {
        return bytes[LEADER_CHANGES_LEFT];
    }

    void changeLeader() {
        bytes[LEADER_CHANGES_LEFT]--;
        bytes[LEADER] ^= 1;
    }

    boolean hasExpiry() {
        return bytes[EXPIRY_TOKEN] != 0;
    }

    byte expiryToken() {
        return bytes[EXPIRY_TOKEN];
    }

    byte expiryRenewals() {
        return bytes[EXPIRY_RENEWALS];
    }

    /** Puts an expiry under way; token 0 removes it. */
    void setExpiry(long token, long renewals) {
        bytes[EXPIRY_TOKEN] = (byte) token;
        bytes[EXPIRY_RENEWALS] = (byte) renewals;
    }

    /** What the leader has observed, for its expiry monitor. */
    Map<String, LeaseExpiryMonitor.ObservedGrant> observedGrants() {
        if (bytes[OBSERVED_TOKEN] == 0) {
            return Map.of();
        }
        return Map.of(
                LeaseTransitions.LEASE,
                new LeaseExpiryMonitor.ObservedGrant(
                        bytes[OBSERVED_TOKEN],
                        bytes[OBSERVED_RENEWALS],
                        LeaseModelMember.NOW - bytes[OBSERVED_AGO]));
    }

    /**
     * @param grant null if the leader has observed none
     * @param maxAgo time since the observation beyond which a longer one makes no difference
     */
    void setObservedGrant(LeaseExpiryMonitor.ObservedGrant grant, long maxAgo) {
        if (grant == null) {
            bytes[OBSERVED_TOKEN] = 0;
            bytes[OBSERVED_RENEWALS] = 0;
            bytes[OBSERVED_AGO] = 0;
            return;
        }
        bytes[OBSERVED_TOKEN] = (byte) grant.token();
        bytes[OBSERVED_RENEWALS] = (byte) grant.renewals();
        bytes[OBSERVED_AGO] = (byte) Math.min(maxAgo, LeaseModelMember.NOW - grant.since());
    }

    /** Advances the leader's clock. */
    void advanceLeaderClock(int units, long maxAgo) {
        if (bytes[OBSERVED_TOKEN] != 0) {
            bytes[OBSERVED_AGO] = (byte) Math.min(maxAgo, bytes[OBSERVED_AGO] + units);
        }
    }

    // ---- Faults and resource

    int duplicatesLeft() {
        return bytes[DUPLICATES_LEFT];
    }

    void useDuplicate() {
        bytes[DUPLICATES_LEFT]--;
    }

    int sessionEndsLeft() {
        return bytes[SESSION_ENDS_LEFT];
    }

    void useSessionEnd() {
        bytes[SESSION_ENDS_LEFT]--;
    }

    /** The highest token that the resource has seen. */
    byte resourceToken() {
        return bytes[RESOURCE_TOKEN];
    }

    void setResourceToken(long token) {
        bytes[RESOURCE_TOKEN] = (byte) token;
    }
}
