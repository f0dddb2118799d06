// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.lease.FencedResource.FencedResult;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

/**
 * What a task may do under its lease, in two ways and no third: a command of the log, which is
 * refused where it is applied if the token is over, or an act at a resource that checks the token.
 * The token itself is not handed out, so that nothing can be done "while it holds". Same thread as
 * its {@link LeaseHolder}; the clock is monotonic, in nanoseconds, and read anew at each act.
 */
public final class FencedActions {
    /** Sends a command to a machine of the log and hears how it went. */
    interface Sender {
        void send(String machine, byte[] body, Consumer<calicostream.cluster.CommandOutcome> done);
    }

    private final LeaseHolder holder;
    private final LongSupplier clock;
    private final String machine;
    private final Sender sender;

    /**
     * @param machine the leases' name in the log
     */
    FencedActions(LeaseHolder holder, LongSupplier clock, String machine, Sender sender) {
        this.holder = holder;
        this.clock = clock;
        this.machine = machine;
        this.sender = sender;
    }

    /** The command to send for it, or why not. Whether it was done, its answer tells. */
    public FencedResult<LeaseCommand.Act> inLog(byte[] payload) {
        return isHeld()
                ? FencedResult.done(new LeaseCommand.Act(holder.name(), holder.token(), payload))
                : FencedResult.refused(notHeld());
    }

    /**
     * Does it in the log, where all hear of it; empty if it was sent, else why not. {@code done}
     * hears how it went.
     */
    public Optional<LeaseRejection> tell(
            byte[] payload, Consumer<calicostream.cluster.CommandOutcome> done) {
        FencedResult<LeaseCommand.Act> act = inLog(payload);
        if (act.isDone()) {
            sender.send(machine, act.result().encode(), done);
        }
        return Optional.ofNullable(act.refused());
    }

    /**
     * Sends a command of another machine of the same log, which carries the token and is refused
     * there once a later one was seen; empty if it was sent, else why not.
     *
     * @param command made with the token, which is good for this command alone
     */
    public Optional<LeaseRejection> command(
            String of,
            LongFunction<byte[]> command,
            Consumer<calicostream.cluster.CommandOutcome> done) {
        if (!isHeld()) {
            return Optional.of(notHeld());
        }
        sender.send(of, command.apply(holder.token()), done);
        return Optional.empty();
    }

    /** Does it at the resource, or says why not. */
    public <A, R> FencedResult<R> at(FencedResource<A, R> resource, A act) {
        return isHeld()
                ? resource.act(holder.name(), holder.token(), act)
                : FencedResult.refused(notHeld());
    }

    /**
     * A hint alone: it may be over before the caller reads it. Good for not beginning what can't be
     * acted upon.
     */
    public boolean isHeld() {
        return holder.mayAct(clock.getAsLong());
    }

    private LeaseRejection notHeld() {
        return new LeaseRejection.NotHeldHere(
                holder.name(),
                holder.token(),
                holder.token() == 0 ? 0 : holder.sinceEnd(clock.getAsLong()));
    }
}
