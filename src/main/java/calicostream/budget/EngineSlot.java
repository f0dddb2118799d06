// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.Arrays;

/**
 * The sessions that this process may use and has in use at one engine, by tenant index. Owned by a
 * {@link GrantedSessions}.
 */
final class EngineSlot {
    private final String name;
    private final String pool;
    private final int floor;

    /** By tenant: granted sessions. */
    private final int[] granted;

    /** By tenant: sessions that were started and have not ended. */
    private final int[] sessions;

    private long incarnation;
    private int orphaned;
    private int totalSessions;
    private int grantedSum;
    private int capacity;
    private int unacknowledged;

    /**
     * Creates the slot of an engine whose incarnation is not known yet.
     *
     * @param orphaned upper bound on the sessions that earlier incarnations of this process left
     *     running
     */
    EngineSlot(String name, String pool, int floor, int orphaned, int tenants) {
        this.name = name;
        this.pool = pool;
        this.floor = floor;
        this.orphaned = orphaned;
        granted = new int[tenants];
        sessions = new int[tenants];
        updateCapacity();
    }

    String name() {
        return name;
    }

    String pool() {
        return pool;
    }

    /** The engine's incarnation to which new sessions are sent; 0 if unknown. */
    long incarnation() {
        return incarnation;
    }

    int orphaned() {
        return orphaned;
    }

    int totalSessions() {
        return totalSessions;
    }

    int grantedSum() {
        return grantedSum;
    }

    /** Limit on the sessions of all tenants; negative if orphaned ones exceed the floor. */
    int capacity() {
        return capacity;
    }

    int unacknowledged() {
        return unacknowledged;
    }

    int granted(int tenant) {
        return granted[tenant];
    }

    int sessions(int tenant) {
        return sessions[tenant];
    }

    boolean mayStart(int tenant, int maxUnacknowledged) {
        return totalSessions < capacity
                && unacknowledged < maxUnacknowledged
                && (sessions[tenant] < granted[tenant] || totalSessions + orphaned < floor);
    }

    /** How many more sessions the tenant may start. */
    int headroom(int tenant, int maxUnacknowledged) {
        int tenantHeadroom =
                Math.max(granted[tenant] - sessions[tenant], floor - orphaned - totalSessions);
        int engineHeadroom = Math.min(capacity - totalSessions, maxUnacknowledged - unacknowledged);
        return Math.max(0, Math.min(engineHeadroom, tenantHeadroom));
    }

    boolean isFloorReduced() {
        return orphaned > 0 && floor > 0 && incarnation != 0;
    }

    void sessionStarted(int tenant) {
        totalSessions++;
        sessions[tenant]++;
        unacknowledged++;
    }

    void sessionAcknowledged(long atIncarnation) {
        if (incarnation == atIncarnation && unacknowledged > 0) {
            unacknowledged--;
        }
    }

    void sessionEnded(int tenant, long atIncarnation) {
        if (incarnation == atIncarnation) {
            totalSessions--;
            sessions[tenant]--;
        }
    }

    /** Carries the unacknowledged sessions over from the previous cluster session. */
    void setUnacknowledged(int count) {
        unacknowledged = count;
    }

    /**
     * Switches to a newer incarnation of the engine and clears the state of the older one.
     *
     * @param orphanedAtReplacement sessions that earlier incarnations of this process may have left
     *     running at the new incarnation; ignored if the slot had no incarnation yet
     */
    void replaceIncarnation(long newIncarnation, int orphanedAtReplacement) {
        boolean isReplacement = incarnation != 0;
        incarnation = newIncarnation;
        Arrays.fill(sessions, 0);
        totalSessions = 0;
        unacknowledged = 0;
        if (isReplacement) {
            orphaned = orphanedAtReplacement;
        }
        revokeGrants();
    }

    void boundOrphaned(int maxOrphaned) {
        orphaned = Math.min(orphaned, maxOrphaned);
        updateCapacity();
    }

    void revokeGrants() {
        Arrays.fill(granted, 0);
        grantedSum = 0;
        updateCapacity();
    }

    void addGrant(int tenant, int grantedSessions) {
        granted[tenant] = grantedSessions;
        grantedSum += grantedSessions;
        updateCapacity();
    }

    private void updateCapacity() {
        capacity = Math.max(floor - orphaned, grantedSum);
    }
}
