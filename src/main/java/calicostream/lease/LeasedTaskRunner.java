// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.CommandEffects;
import calicostream.cluster.MemberSession;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Runs the {@link LeasedTask}s of one process, each while the process holds its lease. Confined to
 * the session's thread; no I/O. For each task, calls of {@link LeasedTask#onStarted} and {@link
 * LeasedTask#onStopped} alternate, even if the lease was lost and granted several times in between.
 */
public final class LeasedTaskRunner {
    /**
     * A change of a task's state, to be logged.
     *
     * @param code {@code lease-held}, {@code lease-lost}, {@code lease-given-back} or {@code
     *     lease-task-failed}
     * @param lease the task's lease
     * @param token the grant's token
     * @param failure exception that the task threw; null for all other codes
     */
    public record TaskEvent(String code, String lease, long token, RuntimeException failure) {}

    /**
     * The state of a task at this process.
     *
     * @param task the task
     * @param phase the phase of its lease
     * @param token token of the grant that this process holds; 0 if there is none
     * @param remainingNanos nanoseconds until the grant expires unless it is renewed; 0 if the
     *     lease is not held
     * @param heldCount number of times this process started to hold the lease
     * @param lostCount number of times it lost the lease other than by releasing it
     * @param failureCount number of exceptions that the task threw
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
     * @param clock monotonic time in nanoseconds; must be the clock that the session uses
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
     * Adds a task and starts to acquire its lease.
     *
     * @throws IllegalArgumentException if another task uses the same lease
     */
    public void add(LeasedTask task, long ttlNanos) {
        if (tasks.stream().anyMatch(state -> state.task.lease().equals(task.lease()))) {
            throw new IllegalArgumentException("another task already uses lease " + task.lease());
        }
        LeaseHolder holder = client.add(task.lease(), ttlNanos);
        tasks.add(new TaskState(task, ttlNanos, holder, client.fencedActions(holder)));
        holder.acquire();
    }

    /** Starts, steps and stops the tasks. Must be called as often as the session's own tick. */
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
            stopTask(state, "lease-lost");
        }
        if (held && !state.running) {
            state.running = true;
            state.runningToken = state.holder.token();
            state.heldCount++;
            notifyListener("lease-held", state, null);
            callTask(state, () -> state.task.onStarted(state.actions));
        }
    }

    private void stopTask(TaskState state, String code) {
        state.running = false;
        notifyListener(code, state, null);
        callTask(state, state.task::onStopped);
    }

    private void callTask(TaskState state, Runnable taskCall) {
        try {
            taskCall.run();
        } catch (RuntimeException e) {
            state.failureCount++;
            notifyListener("lease-task-failed", state, e);
            if (state.running) {
                stopAndRelease(state);
                state.pausedAfterFailure = true;
                state.resumeAt = clock.getAsLong() + state.ttlNanos;
            }
        }
    }

    /**
     * Stops the task and releases its lease. The log entry that releases the lease also grants it
     * to the first waiter.
     */
    private void stopAndRelease(TaskState state) {
        if (state.running) {
            stopTask(state, "lease-given-back");
        }
        state.holder.release();
    }

    private void notifyListener(String code, TaskState state, RuntimeException failure) {
        listener.accept(new TaskEvent(code, state.task.lease(), state.runningToken, failure));
    }

    /**
     * Handles an event of the lease state machine, received from the local replica or the leader.
     */
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
     * Stops all tasks and releases their leases, each of which is granted to its first waiter. Used
     * for planned stops. The next {@link #tick} submits the commands.
     */
    public void stop() {
        stopping = true;
        tasks.forEach(this::stopAndRelease);
    }

    /** The state of all tasks, in the order in which they were added. */
    public List<TaskStatus> statuses() {
        long now = clock.getAsLong();
        return tasks.stream().map(state -> state.status(now)).toList();
    }
}
