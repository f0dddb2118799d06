// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.CommandOutcome;
import calicostream.cluster.MemberSession;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * The leases of one process: brings its holders' commands to its session and their ends back. One
 * thread, the session's; no I/O of its own. {@link #tick} is to be called as often as the
 * session's. A session that was lost ends all that was held under it.
 */
public final class LeaseClient {
    private final MemberSession member;
    private final String machine;
    private final LongSupplier clock;
    private final List<LeaseHolder> holders = new ArrayList<>();
    private long session;

    /**
     * @param clock monotonic, nanoseconds, the same that the session is told
     */
    public LeaseClient(MemberSession member, String machine, LongSupplier clock) {
        this.member = member;
        this.machine = machine;
        this.clock = clock;
    }

    /** One more lease that this process may want; once a name. */
    public LeaseHolder add(String name, long ttlNanos) {
        return add(new LeaseHolder(name, ttlNanos, clock.getAsLong()));
    }

    LeaseHolder add(LeaseHolder holder) {
        holders.add(holder);
        return holder;
    }

    /** What a task may do under that lease. */
    public FencedActions acts(LeaseHolder holder) {
        return new FencedActions(holder, clock, machine, member::submit);
    }

    /** Sends what is due. */
    public void tick() {
        long now = clock.getAsLong();
        if (member.sessionId() != session) {
            if (session != 0) {
                holders.forEach(holder -> holder.sessionEnded(now));
            }
            session = member.sessionId();
        }
        if (session == 0) {
            holders.forEach(holder -> holder.mayAct(now));
            return;
        }
        holders.forEach(holder -> send(holder, now));
    }

    private void send(LeaseHolder holder, long now) {
        LeaseHolder.Ask ask = holder.next(now);
        if (ask != null) {
            member.submit(machine, ask.command().encode(), outcome -> ended(holder, ask, outcome));
        }
    }

    private void ended(LeaseHolder holder, LeaseHolder.Ask ask, CommandOutcome outcome) {
        long now = clock.getAsLong();
        switch (outcome.kind()) {
            case ACCEPTED ->
                    holder.answered(now, ask.number(), LeaseAnswer.decode(outcome.response()));
            case REJECTED ->
                    holder.refused(
                            now,
                            ask.number(),
                            LeaseRejection.decode(outcome.code(), outcome.response()));
            case FAILED -> holder.unsure(now, ask.number());
        }
        if (outcome.kind() != CommandOutcome.Kind.FAILED) {
            send(
                    holder,
                    now); // What follows at once must not wait for a tick: a planned stop may not
            // come to another one.
        }
    }

    /** Something happened to a lease, as a copy of the machine told it or a query found it. */
    public void news(LeaseEvent event) {
        if (event instanceof LeaseEvent.Granted granted
                && granted.session() == session
                && session == member.sessionId()) {
            for (LeaseHolder holder : holders) {
                if (holder.name().equals(granted.name())) {
                    holder.granted(clock.getAsLong(), granted.token());
                    send(holder, clock.getAsLong());
                }
            }
        }
    }
}
