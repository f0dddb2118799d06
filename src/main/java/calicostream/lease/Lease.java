// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.ArrayList;
import java.util.List;

/**
 * The replicated record of one held lease: its current grant and the sessions queued for the next
 * one. Mutable; owned by one {@link LeaseStateMachine} and used on its thread only.
 */
final class Lease {
    /**
     * A session queued for the lease.
     *
     * @param session the session's identifier
     * @param ttlNanos the time to live that its grant will have, in nanoseconds
     */
    record Waiter(long session, long ttlNanos) {}

    private final List<Waiter> waiters;
    private long session;
    private long token;
    private long renewals;
    private long ttlNanos;
    private boolean sessionEnded;

    /** A lease that has not been granted yet. */
    Lease() {
        waiters = new ArrayList<>();
    }

    /** A lease as read from a snapshot. */
    Lease(LeaseStateMachine.HeldLease grant, List<Waiter> waiters) {
        this.waiters = new ArrayList<>(waiters);
        session = grant.session();
        token = grant.token();
        renewals = grant.renewals();
        ttlNanos = grant.ttlNanos();
        sessionEnded = grant.sessionEnded();
    }

    /** Makes {@code next} the holder under a new token. */
    void grantTo(Waiter next, long newToken) {
        session = next.session();
        ttlNanos = next.ttlNanos();
        token = newToken;
        renewals = 0;
        sessionEnded = false;
    }

    /** Counts one more renewal of the current grant. */
    void renew() {
        renewals++;
    }

    /** Records that the holder's session has ended; the grant stays until it expires. */
    void markSessionEnded() {
        sessionEnded = true;
    }

    long token() {
        return token;
    }

    long renewals() {
        return renewals;
    }

    boolean isSessionEnded() {
        return sessionEnded;
    }

    boolean isHeldBy(long candidate) {
        return session == candidate;
    }

    boolean isHeldBy(long candidate, long candidateToken) {
        return session == candidate && token == candidateToken;
    }

    /** The queue, first come first served. */
    List<Waiter> waiters() {
        return waiters;
    }

    /** Adds a session to the end of the queue. */
    void enqueue(Waiter waiter) {
        waiters.add(waiter);
    }

    /** Removes a session from the queue; does nothing if it is not in it. */
    void dequeue(long waiting) {
        waiters.removeIf(waiter -> waiter.session() == waiting);
    }

    /** Removes and returns the first of the queue, which must not be empty. */
    Waiter removeFirst() {
        return waiters.remove(0);
    }

    /**
     * @param position from 1 up, moved to the first position
     */
    void moveToFront(int position) {
        waiters.add(0, waiters.remove(position - 1));
    }

    /** Position in the queue from 1 up; 0 if the session is not queued. */
    int queuePosition(long waiting) {
        for (int i = 0; i < waiters.size(); i++) {
            if (waiters.get(i).session() == waiting) {
                return i + 1;
            }
        }
        return 0;
    }

    /** An immutable view under the lease's name. */
    LeaseStateMachine.HeldLease view(String name) {
        return new LeaseStateMachine.HeldLease(
                name, session, token, renewals, ttlNanos, sessionEnded, waiters.size());
    }
}
