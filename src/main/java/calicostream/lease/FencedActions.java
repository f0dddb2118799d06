// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.CommandOutcome;
import calicostream.lease.FencedResource.FencedResult;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

/**
 * The actions that a task may take under its lease. There are two kinds: a command in the log,
 * which is rejected when it is applied if its token is outdated, and an action at a {@link
 * FencedResource}, which checks the token itself. The token is not exposed, so that every action
 * passes through this class and carries the token.
 *
 * <p>Confined to the thread of its {@link LeaseHolder}. The clock is read at each action.
 */
public final class FencedActions {
    /** Submits a command to a state machine of the log and reports the outcome. */
    interface CommandSender {
        void send(String machine, byte[] body, Consumer<CommandOutcome> onOutcome);
    }

    private final LeaseHolder holder;
    private final LongSupplier clock;
    private final String machine;
    private final CommandSender sender;

    /**
     * @param clock monotonic time in nanoseconds
     * @param machine name of the lease state machine in the log
     */
    FencedActions(LeaseHolder holder, LongSupplier clock, String machine, CommandSender sender) {
        this.holder = holder;
        this.clock = clock;
        this.machine = machine;
        this.sender = sender;
    }

    /**
     * Creates the log command for an action, for a caller that submits the command itself. The
     * answer to the command reports whether the action was applied.
     *
     * @return the command, or {@link LeaseRejection.NotHeldLocally}
     */
    public FencedResult<LeaseCommand.FencedAction> createLogCommand(byte[] payload) {
        return isHeld()
                ? FencedResult.completed(
                        new LeaseCommand.FencedAction(holder.name(), holder.token(), payload))
                : FencedResult.rejected(notHeld());
    }

    /**
     * Submits an action in the log, which all members observe.
     *
     * @param onOutcome called with the command's outcome if it was submitted
     * @return empty if the command was submitted; otherwise the reason why it was not
     */
    public Optional<LeaseRejection> submit(byte[] payload, Consumer<CommandOutcome> onOutcome) {
        FencedResult<LeaseCommand.FencedAction> action = createLogCommand(payload);
        if (action.isCompleted()) {
            sender.send(machine, action.result().encode(), onOutcome);
        }
        return Optional.ofNullable(action.rejection());
    }

    /**
     * Submits a command to another state machine of the same log, which rejects the command if it
     * carries an outdated token.
     *
     * @param targetMachine name of that state machine in the log
     * @param command creates the command's body from the token, which must not be used for anything
     *     else
     * @param onOutcome called with the command's outcome if it was submitted
     * @return empty if the command was submitted; otherwise the reason why it was not
     */
    public Optional<LeaseRejection> submitTo(
            String targetMachine,
            LongFunction<byte[]> command,
            Consumer<CommandOutcome> onOutcome) {
        if (!isHeld()) {
            return Optional.of(notHeld());
        }
        sender.send(targetMachine, command.apply(holder.token()), onOutcome);
        return Optional.empty();
    }

    /** Executes an action at a resource that checks the token. */
    public <A, R> FencedResult<R> executeAt(FencedResource<A, R> resource, A action) {
        return isHeld()
                ? resource.execute(holder.name(), holder.token(), action)
                : FencedResult.rejected(notHeld());
    }

    /**
     * Whether the lease is held now. Use it only to skip work that would be rejected: the lease may
     * expire before the caller uses the result.
     */
    public boolean isHeld() {
        return holder.mayAct(clock.getAsLong());
    }

    private LeaseRejection notHeld() {
        long token = holder.token();
        long nanosSinceExpiry = token == 0 ? 0 : holder.nanosSinceExpiry(clock.getAsLong());
        return new LeaseRejection.NotHeldLocally(holder.name(), token, nanosSinceExpiry);
    }
}
