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
 * which is rejected where it is applied if its token is outdated, and an action at a {@link
 * FencedResource}, which checks the token itself. The token is not exposed, so that no action can
 * be taken on the strength of a check alone.
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
     * Creates the command of an action in the log, for a caller that submits it itself. The
     * command's answer says whether the action was applied.
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
     * @return empty if the command was submitted, else why not
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
     * @param command makes the command's body with the token, which must not be used elsewhere
     * @param onOutcome called with the command's outcome if it was submitted
     * @return empty if the command was submitted, else why not
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
     * Whether the lease is held at this moment. Only a hint, useful to skip work that would be
     * rejected: the lease may have expired before the caller reads the result.
     */
    public boolean isHeld() {
        return holder.mayAct(clock.getAsLong());
    }

    private LeaseRejection notHeld() {
        long token = holder.token();
        long sinceExpiry = token == 0 ? 0 : holder.nanosSinceExpiry(clock.getAsLong());
        return new LeaseRejection.NotHeldLocally(holder.name(), token, sinceExpiry);
    }
}
