// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.Arrays;

/**
 * What this process may use and uses at one engine, in sessions; tenants are indexes. Owned by a
 * {@link GrantedSessions}.
 */
final class EngineSlot {
    private final String name;
    private final String pool;
    private final int floor;

    /** By tenant: granted sessions. */
    private final int[] granted;

    /** By tenant: started sessions that have not ended. */
    private final int[] sessions;

    private long incarnation;
    private int orphaned;
    private int totalSessions;
    private int grantedSum;
    private int capacity;
    private int unacknowledged;

    /**
     * An engine of which no incarnation is known.
     *
     * @param orphaned the most that earlier incarnations of this process may have left running
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

    /** The incarnation that new sessions go to; 0 if none is known. */
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

    /** The most sessions of all tenants; negative if orphaned ones alone pass the floor. */
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

    /** How many sessions the tenant may start. */
    int headroom(int tenant, int maxUnacknowledged) {
        int ofTenant =
                Math.max(granted[tenant] - sessions[tenant], floor - orphaned - totalSessions);
        int ofEngine = Math.min(capacity - totalSessions, maxUnacknowledged - unacknowledged);
        return Math.max(0, Math.min(ofEngine, ofTenant));
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

    /** Sessions that were sent before a change of the cluster session are still unacknowledged. */
    void setUnacknowledged(int count) {
        unacknowledged = count;
    }

    /**
     * A newer incarnation of the engine: nothing of what was known of the older one holds.
     *
     * @param orphanedAtReplacement what earlier incarnations of this process may have left at it,
     *     if it replaces one that was known
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

    void boundOrphaned(int atMost) {
        orphaned = Math.min(orphaned, atMost);
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
