// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.Map;

/**
 * Typed access to a state of {@link LeaseModel}, which the explorer stores as bytes: the log, the
 * leader, the resource, the history that the invariants need, and the members. Times are stored as
 * distances from the current time of the owner's clock.
 */
final class LeaseModelState {
    private static final int SNAPSHOT_ID = 0; // three bytes
    private static final int LEADER = 3;
    private static final int LEADER_CHANGES_LEFT = 4;
    private static final int DUPLICATES_LEFT = 5;
    private static final int SESSION_ENDS_LEFT = 6;
    private static final int EXPIRY_TOKEN = 7; // of the expiry command in transit
    private static final int EXPIRY_RENEWALS = 8;
    private static final int OBSERVED_TOKEN = 9;
    private static final int OBSERVED_RENEWALS = 10;
    private static final int SINCE_OBSERVATION = 11;
    private static final int RESOURCE_TOKEN = 12;
    private static final int LOG_TOKEN = 13;
    private static final int LOG_ACTIONS = 14; // one bit for each applied action
    private static final int GRANTED_TOKEN = 15;
    private static final int CLOCKS_INDEX = 16;
    private static final int HEADER_BYTES = 17;

    private final byte[] bytes;

    /** Creates a view of the bytes, which are not copied. */
    LeaseModelState(byte[] bytes) {
        this.bytes = bytes;
    }

    static LeaseModelState initial(LeaseModelBounds bounds, int clocksIndex) {
        LeaseModelState state =
                new LeaseModelState(
                        new byte[HEADER_BYTES + bounds.members() * LeaseModelMember.BYTES]);
        state.bytes[CLOCKS_INDEX] = (byte) clocksIndex;
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

    /** Index into {@link LeaseModelBounds#clocks}. */
    int clocksIndex() {
        return bytes[CLOCKS_INDEX];
    }

    /** Identifier of the state machine's snapshot. */
    int snapshotId() {
        return (bytes[SNAPSHOT_ID] & 0xff) << 16
                | (bytes[SNAPSHOT_ID + 1] & 0xff) << 8
                | bytes[SNAPSHOT_ID + 2] & 0xff;
    }

    void setSnapshotId(int snapshotId) {
        bytes[SNAPSHOT_ID] = (byte) (snapshotId >> 16);
        bytes[SNAPSHOT_ID + 1] = (byte) (snapshotId >> 8);
        bytes[SNAPSHOT_ID + 2] = (byte) snapshotId;
    }

    /** The most recently granted token. */
    byte grantedToken() {
        return bytes[GRANTED_TOKEN];
    }

    void setGrantedToken(byte token) {
        bytes[GRANTED_TOKEN] = token;
    }

    /** The token of the most recent action that the log accepted. */
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

    /** Sets the expiry command in transit; token 0 removes it. */
    void setExpiry(long token, long renewals) {
        bytes[EXPIRY_TOKEN] = (byte) token;
        bytes[EXPIRY_RENEWALS] = (byte) renewals;
    }

    /** The grants that the leader has observed, for its expiry monitor. */
    Map<String, LeaseExpiryMonitor.ObservedGrant> observedGrants() {
        if (bytes[OBSERVED_TOKEN] == 0) {
            return Map.of();
        }
        return Map.of(
                LeaseTransitions.LEASE,
                new LeaseExpiryMonitor.ObservedGrant(
                        bytes[OBSERVED_TOKEN],
                        bytes[OBSERVED_RENEWALS],
                        LeaseModelMember.NOW - bytes[SINCE_OBSERVATION]));
    }

    /**
     * @param grant the observed grant; null if the leader has observed none
     * @param maxElapsed limit of the time since the observation; longer times are equivalent to it
     */
    void setObservedGrant(LeaseExpiryMonitor.ObservedGrant grant, long maxElapsed) {
        if (grant == null) {
            bytes[OBSERVED_TOKEN] = 0;
            bytes[OBSERVED_RENEWALS] = 0;
            bytes[SINCE_OBSERVATION] = 0;
            return;
        }
        bytes[OBSERVED_TOKEN] = (byte) grant.token();
        bytes[OBSERVED_RENEWALS] = (byte) grant.renewals();
        bytes[SINCE_OBSERVATION] =
                (byte) Math.min(maxElapsed, LeaseModelMember.NOW - grant.observedAt());
    }

    /** Advances the leader's clock. */
    void advanceLeaderClock(int units, long maxElapsed) {
        if (bytes[OBSERVED_TOKEN] != 0) {
            bytes[SINCE_OBSERVATION] =
                    (byte) Math.min(maxElapsed, bytes[SINCE_OBSERVATION] + units);
        }
    }

    int duplicatesLeft() {
        return bytes[DUPLICATES_LEFT];
    }

    void consumeDuplicate() {
        bytes[DUPLICATES_LEFT]--;
    }

    int sessionEndsLeft() {
        return bytes[SESSION_ENDS_LEFT];
    }

    void consumeSessionEnd() {
        bytes[SESSION_ENDS_LEFT]--;
    }

    /** The highest token that the resource has accepted. */
    byte resourceToken() {
        return bytes[RESOURCE_TOKEN];
    }

    void setResourceToken(long token) {
        bytes[RESOURCE_TOKEN] = (byte) token;
    }
}
