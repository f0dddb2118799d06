// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.CommandEffects;
import calicostream.cluster.MemberSession;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Runs a process's {@link LeasedTask}s, each while its lease is held here. Decisions alone; one
 * thread, the session's. A task is told that it started before its first step and that it stopped
 * before it can start again, once each, however the lease came and went in between.
 */
public final class LeasedTaskRunner {
    /**
     * What happened, for the log: {@code lease-held}, {@code lease-lost}, {@code lease-given-back},
     * {@code lease-task-failed}.
     */
    public record Event(String code, String lease, long token, RuntimeException failure) {}

    /**
     * A task at this process, as of now.
     *
     * @param token held here; 0 if none
     * @param leftNanos until it ends by itself, unless it is renewed; 0 if it is not held
     * @param held how often it was, @param lost how often it ended unwanted, @param failed how
     *     often the task threw
     */
    public record Figures(
            LeasedTask task,
            LeaseHolder.Phase phase,
            long token,
            long leftNanos,
            long held,
            long lost,
            long failed) {}

    private static final class Run {
        final LeasedTask task;
        final long ttl;
        final LeaseHolder holder;
        final FencedActions acts;
        boolean on;
        long token;
        long held;
        long lost;
        long failed;
        long againAt;
        boolean rests;

        Run(LeasedTask task, long ttl, LeaseHolder holder, FencedActions acts) {
            this.task = task;
            this.ttl = ttl;
            this.holder = holder;
            this.acts = acts;
        }
    }

    private final LeaseClient client;
    private final LongSupplier clock;
    private final Consumer<Event> told;
    private final List<Run> runs = new ArrayList<>();
    private boolean stopping;

    /**
     * @param machine the leases' name in the log
     * @param clock monotonic, nanoseconds, the same that the session is told
     * @param told hears what happened, on the session's thread
     */
    public LeasedTaskRunner(
            MemberSession member, String machine, LongSupplier clock, Consumer<Event> told) {
        client = new LeaseClient(member, machine, clock);
        this.clock = clock;
        this.told = told;
    }

    /** Wants its lease from now on; one task a lease. */
    public void add(LeasedTask task, long ttlNanos) {
        if (runs.stream().anyMatch(run -> run.task.lease().equals(task.lease()))) {
            throw new IllegalArgumentException("two tasks of lease " + task.lease());
        }
        LeaseHolder holder = client.add(task.lease(), ttlNanos);
        runs.add(new Run(task, ttlNanos, holder, client.acts(holder)));
        holder.want();
    }

    /** As often as the session's. */
    public void tick() {
        client.tick();
        for (Run run : runs) {
            look(run);
            if (run.on) {
                guarded(run, () -> run.task.step(run.acts, clock.getAsLong()));
            }
            if (run.rests && !stopping && clock.getAsLong() - run.againAt >= 0) {
                run.rests = false;
                run.holder.want();
            }
        }
    }

    private void look(Run run) {
        boolean holds = run.acts.isHeld();
        if (run.on && (!holds || run.token != run.holder.token())) {
            run.lost++;
            off(run, "lease-lost");
        }
        if (holds && !run.on) {
            run.on = true;
            run.token = run.holder.token();
            run.held++;
            told.accept(new Event("lease-held", run.task.lease(), run.token, null));
            guarded(run, () -> run.task.started(run.acts));
        }
    }

    private void off(Run run, String why) {
        run.on = false;
        told.accept(new Event(why, run.task.lease(), run.token, null));
        guarded(run, run.task::stopped);
    }

    private void guarded(Run run, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            run.failed++;
            told.accept(new Event("lease-task-failed", run.task.lease(), run.token, e));
            if (run.on) {
                giveBack(run);
                run.rests = true;
                run.againAt = clock.getAsLong() + run.ttl;
            }
        }
    }

    private void giveBack(Run run) {
        if (run.on) {
            off(run, "lease-given-back");
        }
        run.holder.stop(); // Whoever waits longest is granted it by the same entry.
    }

    /** Something happened to a lease, as the copy at hand or the leader told it. */
    public void news(CommandEffects.Event event) {
        LeaseEvent read = LeaseEvent.decode(event);
        client.news(read);
        if (read instanceof LeaseEvent.Acted acted) {
            for (Run run : runs) {
                if (run.task.lease().equals(acted.name())) {
                    guarded(
                            run,
                            () ->
                                    run.task.heard(
                                            acted.token(), acted.payload(), clock.getAsLong()));
                }
            }
        }
    }

    /**
     * A planned stop: the tasks stop, and what is held goes to who waits longest, at once. {@link
     * #tick} sends it.
     */
    public void stop() {
        stopping = true;
        runs.forEach(this::giveBack);
    }

    public List<Figures> figures() {
        long now = clock.getAsLong();
        return runs.stream()
                .map(
                        run ->
                                new Figures(
                                        run.task,
                                        run.holder.phase(),
                                        run.holder.token(),
                                        run.acts.isHeld()
                                                ? Math.max(0, -run.holder.sinceEnd(now))
                                                : 0,
                                        run.held,
                                        run.lost,
                                        run.failed))
                .toList();
    }
}
