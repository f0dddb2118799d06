// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A process, identified by its name: its current incarnation, the lease of its grants, and its
 * allocation at each engine. Owned by a {@link GrantLedger}.
 */
final class ProcessEntry {
    private final String name;
    private long session;
    private long reportNumber;
    private long grantVersion;
    private long expiredAtIndex;
    private long predecessorsExpiredAtIndex;
    private boolean hasPredecessors;
    private final SortedMap<String, EngineAllocation> allocations = new TreeMap<>();

    ProcessEntry(String name) {
        this.name = name;
    }

    /**
     * The scalar state of a process, as stored in a snapshot.
     *
     * @param session cluster session of the current incarnation; 0 if the process has left or never
     *     joined
     * @param reportNumber number of the last report that was applied
     * @param grantVersion version of the current grants
     * @param expiredAtIndex index at which the grants expired; 0 while they may be used
     * @param predecessorsExpiredAtIndex index at which the earlier incarnations' grants expired; 0
     *     while they may be used
     * @param hasPredecessors whether earlier incarnations may have left sessions running
     */
    record LeaseState(
            long session,
            long reportNumber,
            long grantVersion,
            long expiredAtIndex,
            long predecessorsExpiredAtIndex,
            boolean hasPredecessors) {}

    LeaseState leaseState() {
        return new LeaseState(
                session,
                reportNumber,
                grantVersion,
                expiredAtIndex,
                predecessorsExpiredAtIndex,
                hasPredecessors);
    }

    void restoreLeaseState(LeaseState state) {
        session = state.session();
        reportNumber = state.reportNumber();
        grantVersion = state.grantVersion();
        expiredAtIndex = state.expiredAtIndex();
        predecessorsExpiredAtIndex = state.predecessorsExpiredAtIndex();
        hasPredecessors = state.hasPredecessors();
    }

    String name() {
        return name;
    }

    /** Cluster session under which the current incarnation joined; 0 if there is none. */
    long session() {
        return session;
    }

    boolean hasSession() {
        return session != 0;
    }

    long reportNumber() {
        return reportNumber;
    }

    long grantVersion() {
        return grantVersion;
    }

    /** Index at which the current incarnation's grants expired; 0 while they may be used. */
    long expiredAtIndex() {
        return expiredAtIndex;
    }

    boolean isExpired() {
        return expiredAtIndex != 0;
    }

    /** Whether the process has a session and its grants may be used. */
    boolean isActive() {
        return hasSession() && !isExpired();
    }

    /** Index at which the earlier incarnations' grants expired; 0 while they may be used. */
    long predecessorsExpiredAtIndex() {
        return predecessorsExpiredAtIndex;
    }

    /** Whether earlier incarnations may have left sessions running. */
    boolean hasPredecessors() {
        return hasPredecessors;
    }

    /** By engine name; unmodifiable. */
    SortedMap<String, EngineAllocation> allocations() {
        return Collections.unmodifiableSortedMap(allocations);
    }

    /** The allocation at the engine, added if there was none. */
    EngineAllocation allocation(String engine) {
        return allocations.computeIfAbsent(engine, key -> new EngineAllocation());
    }

    void restoreAllocation(String engine, EngineAllocation allocation) {
        allocations.put(engine, allocation);
    }

    void removeAllocation(String engine) {
        allocations.remove(engine);
    }

    /** Starts a new incarnation; grants and reports of the previous one are void. */
    void beginSession(long newSession) {
        session = newSession;
        reportNumber = 0;
        grantVersion = 0;
        expiredAtIndex = 0;
    }

    /** Makes the current incarnation a predecessor, whose grants have yet to expire. */
    void becomePredecessor() {
        hasPredecessors = true;
        predecessorsExpiredAtIndex = 0;
    }

    /** Ends the current incarnation after a graceful shutdown: it has no running sessions. */
    void endSession() {
        allocations.values().forEach(EngineAllocation::release);
        if (!hasPredecessors) {
            allocations.clear();
        }
        session = 0;
    }

    void renew(long number) {
        reportNumber = number;
        expiredAtIndex = 0;
    }

    /** Starts a new version of the grants; the process acknowledges it in its next reports. */
    void incrementGrantVersion() {
        grantVersion++;
    }

    void expire(long index) {
        expiredAtIndex = index;
        incrementGrantVersion();
    }

    void expirePredecessors(long index) {
        predecessorsExpiredAtIndex = index;
    }

    void boundOrphaned(String engine, int sessions) {
        allocation(engine).boundOrphaned(sessions);
        hasPredecessors =
                allocations.values().stream().anyMatch(allocation -> allocation.orphaned() > 0);
    }
}
