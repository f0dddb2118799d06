// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.CommandOutcome;
import calicostream.cluster.MemberSession;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Connects the {@link LeaseHolder}s of one process to its session: submits their commands and
 * reports the outcomes. Confined to the session's thread; no I/O of its own. When the session is
 * replaced, the holders drop all grants of the former session.
 */
public final class LeaseClient {
    private final MemberSession member;
    private final String machine;
    private final LongSupplier clock;
    private final List<LeaseHolder> holders = new ArrayList<>();
    private long session;

    /**
     * @param member the process's session
     * @param machine name of the lease state machine in the log
     * @param clock monotonic time in nanoseconds; must be the clock that the session uses
     */
    public LeaseClient(MemberSession member, String machine, LongSupplier clock) {
        this.member = member;
        this.machine = machine;
        this.clock = clock;
    }

    /**
     * Creates a holder for a lease that this process may acquire. Must be called at most once for
     * each name.
     */
    public LeaseHolder add(String name, long ttlNanos) {
        return add(new LeaseHolder(name, ttlNanos, clock.getAsLong()));
    }

    LeaseHolder add(LeaseHolder holder) {
        holders.add(holder);
        return holder;
    }

    /** Creates the fenced actions that a task may take under the holder's lease. */
    public FencedActions fencedActions(LeaseHolder holder) {
        return new FencedActions(holder, clock, machine, member::submit);
    }

    /** Submits the commands that are due. Must be called as often as the session's own tick. */
    public void tick() {
        long now = clock.getAsLong();
        if (member.sessionId() != session) {
            if (session != 0) {
                holders.forEach(holder -> holder.onSessionEnded(now));
            }
            session = member.sessionId();
        }
        if (session == 0) {
            holders.forEach(holder -> holder.mayAct(now));
            return;
        }
        holders.forEach(holder -> submitNext(holder, now));
    }

    private void submitNext(LeaseHolder holder, long now) {
        LeaseHolder.Request request = holder.nextRequest(now);
        if (request != null) {
            member.submit(
                    machine,
                    request.command().encode(),
                    outcome -> onOutcome(holder, request.number(), outcome));
        }
    }

    private void onOutcome(LeaseHolder holder, long number, CommandOutcome outcome) {
        long now = clock.getAsLong();
        switch (outcome.kind()) {
            case ACCEPTED -> holder.onAnswer(now, number, LeaseAnswer.decode(outcome.response()));
            case REJECTED ->
                    holder.onRejected(
                            now, number, LeaseRejection.decode(outcome.code(), outcome.response()));
            case FAILED -> holder.onUnknownOutcome(now, number);
            default -> throw new IllegalStateException("unknown outcome " + outcome.kind());
        }
        if (outcome.kind() != CommandOutcome.Kind.FAILED) {
            // The next command is sent now, as no further tick may follow in a planned stop.
            submitNext(holder, now);
        }
    }

    /** Handles an event of the state machine, received from a replica or derived from a query. */
    public void onEvent(LeaseEvent event) {
        boolean concernsSession =
                event instanceof LeaseEvent.Granted granted
                        && granted.session() == session
                        && session == member.sessionId();
        if (!concernsSession) {
            return;
        }
        for (LeaseHolder holder : holders) {
            if (holder.name().equals(event.name())) {
                holder.onGranted(clock.getAsLong(), event.token());
                submitNext(holder, clock.getAsLong());
            }
        }
    }
}
