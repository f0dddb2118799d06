// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.CommandEffects;
import calicostream.cluster.MemberSession;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Runs a process's {@link LeasedTask}s, each while its lease is held here. Confined to the
 * session's thread; no I/O. Calls of {@link LeasedTask#onStarted} and {@link LeasedTask#onStopped}
 * alternate, however often the lease was lost and granted in between.
 */
public final class LeasedTaskRunner {
    /**
     * A change of a task's state, for the log.
     *
     * @param code {@code lease-held}, {@code lease-lost}, {@code lease-given-back} or {@code
     *     lease-task-failed}
     * @param lease the task's lease
     * @param token the grant's token
     * @param failure what the task threw; null for all other codes
     */
    public record TaskEvent(String code, String lease, long token, RuntimeException failure) {}

    /**
     * The state of a task at this process.
     *
     * @param task the task
     * @param phase the phase of its lease
     * @param token held here; 0 if none
     * @param remainingNanos until the grant expires unless it is renewed; 0 if it is not held
     * @param heldCount how often this process began to hold the lease
     * @param lostCount how often it lost the lease, other than by release
     * @param failureCount how often the task threw
     */
    public record TaskStatus(
            LeasedTask task,
            LeaseHolder.Phase phase,
            long token,
            long remainingNanos,
            long heldCount,
            long lostCount,
            long failureCount) {}

    private static final class TaskState {
        private final LeasedTask task;
        private final long ttlNanos;
        private final LeaseHolder holder;
        private final FencedActions actions;
        private boolean running;
        private long runningToken;
        private long heldCount;
        private long lostCount;
        private long failureCount;
        private boolean pausedAfterFailure;
        private long resumeAt;

        TaskState(LeasedTask task, long ttlNanos, LeaseHolder holder, FencedActions actions) {
            this.task = task;
            this.ttlNanos = ttlNanos;
            this.holder = holder;
            this.actions = actions;
        }

        TaskStatus status(long now) {
            long remainingNanos = actions.isHeld() ? Math.max(0, -holder.nanosSinceExpiry(now)) : 0;
            return new TaskStatus(
                    task,
                    holder.phase(),
                    holder.token(),
                    remainingNanos,
                    heldCount,
                    lostCount,
                    failureCount);
        }
    }

    private final LeaseClient client;
    private final LongSupplier clock;
    private final Consumer<TaskEvent> listener;
    private final List<TaskState> tasks = new ArrayList<>();
    private boolean stopping;

    /**
     * @param member the process's session
     * @param machine name of the lease state machine in the log
     * @param clock monotonic time in nanoseconds, the same that the session is given
     * @param listener called on the session's thread at each change of a task's state
     */
    public LeasedTaskRunner(
            MemberSession member,
            String machine,
            LongSupplier clock,
            Consumer<TaskEvent> listener) {
        client = new LeaseClient(member, machine, clock);
        this.clock = clock;
        this.listener = listener;
    }

    /**
     * Adds a task, whose lease is requested from now on.
     *
     * @throws IllegalArgumentException if there is a task with the same lease
     */
    public void add(LeasedTask task, long ttlNanos) {
        if (tasks.stream().anyMatch(state -> state.task.lease().equals(task.lease()))) {
            throw new IllegalArgumentException("two tasks of lease " + task.lease());
        }
        LeaseHolder holder = client.add(task.lease(), ttlNanos);
        tasks.add(new TaskState(task, ttlNanos, holder, client.fencedActions(holder)));
        holder.acquire();
    }

    /** Starts, steps and stops the tasks. To be called as often as the session's own tick. */
    public void tick() {
        client.tick();
        for (TaskState state : tasks) {
            updateRunning(state);
            if (state.running) {
                callTask(state, () -> state.task.step(state.actions, clock.getAsLong()));
            }
            if (state.pausedAfterFailure && !stopping && clock.getAsLong() - state.resumeAt >= 0) {
                state.pausedAfterFailure = false;
                state.holder.acquire();
            }
        }
    }

    private void updateRunning(TaskState state) {
        boolean held = state.actions.isHeld();
        if (state.running && (!held || state.runningToken != state.holder.token())) {
            state.lostCount++;
            stop(state, "lease-lost");
        }
        if (held && !state.running) {
            state.running = true;
            state.runningToken = state.holder.token();
            state.heldCount++;
            publish("lease-held", state, null);
            callTask(state, () -> state.task.onStarted(state.actions));
        }
    }

    private void stop(TaskState state, String code) {
        state.running = false;
        publish(code, state, null);
        callTask(state, state.task::onStopped);
    }

    private void callTask(TaskState state, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            state.failureCount++;
            publish("lease-task-failed", state, e);
            if (state.running) {
                giveBack(state);
                state.pausedAfterFailure = true;
                state.resumeAt = clock.getAsLong() + state.ttlNanos;
            }
        }
    }

    /** The lease is granted to the first waiter by the same log entry that releases it. */
    private void giveBack(TaskState state) {
        if (state.running) {
            stop(state, "lease-given-back");
        }
        state.holder.release();
    }

    private void publish(String code, TaskState state, RuntimeException failure) {
        listener.accept(new TaskEvent(code, state.task.lease(), state.runningToken, failure));
    }

    /** Reports an event of the lease state machine, from the local replica or the leader. */
    public void onEvent(CommandEffects.Event event) {
        LeaseEvent decoded = LeaseEvent.decode(event);
        client.onEvent(decoded);
        if (decoded instanceof LeaseEvent.ActionPerformed action) {
            tasks.stream()
                    .filter(state -> state.task.lease().equals(action.name()))
                    .forEach(state -> callTask(state, () -> notifyTask(state.task, action)));
        }
    }

    private void notifyTask(LeasedTask task, LeaseEvent.ActionPerformed action) {
        task.onAction(action.token(), action.payload(), clock.getAsLong());
    }

    /**
     * Planned stop: the tasks stop, and each lease that is held goes to its first waiter. The next
     * {@link #tick} submits the commands.
     */
    public void stop() {
        stopping = true;
        tasks.forEach(this::giveBack);
    }

    /** The state of all tasks, in the order in which they were added. */
    public List<TaskStatus> statuses() {
        long now = clock.getAsLong();
        return tasks.stream().map(state -> state.status(now)).toList();
    }
}
