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

    /** Makes a queued session the holder under a new token. */
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

    boolean isHeldBy(long candidateSession) {
        return session == candidateSession;
    }

    boolean isHeldBy(long candidateSession, long candidateToken) {
        return session == candidateSession && token == candidateToken;
    }

    /** The queued sessions in the order in which they are granted the lease. */
    List<Waiter> waiters() {
        return waiters;
    }

    /** Adds a session to the end of the queue. */
    void enqueue(Waiter waiter) {
        waiters.add(waiter);
    }

    /** Removes a session from the queue; does nothing if it is not queued. */
    void dequeue(long queuedSession) {
        waiters.removeIf(waiter -> waiter.session() == queuedSession);
    }

    /** Removes and returns the first session of the queue, which must not be empty. */
    Waiter removeFirst() {
        return waiters.remove(0);
    }

    /**
     * Moves a queued session to the front of the queue.
     *
     * @param position its current position, from 1 up
     */
    void moveToFront(int position) {
        waiters.add(0, waiters.remove(position - 1));
    }

    /** Position in the queue from 1 up; 0 if the session is not queued. */
    int queuePosition(long queuedSession) {
        for (int i = 0; i < waiters.size(); i++) {
            if (waiters.get(i).session() == queuedSession) {
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
