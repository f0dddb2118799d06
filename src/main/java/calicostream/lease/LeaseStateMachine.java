// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.ClusterException;
import calicostream.cluster.Command;
import calicostream.cluster.CommandEffects;
import calicostream.cluster.StateMachine;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The replicated state machine of all leases: one holder for each name, a first-come-first-served
 * queue of sessions for each name, and one fencing token counter for all names. The counter grows
 * with each grant and never repeats a value, even across snapshots and for leases that were removed
 * and granted again.
 *
 * <p>Deterministic: the state depends only on the applied commands, and no clock is read. A grant
 * ends when its holder releases or transfers it, or when the leader expires it with {@link
 * LeaseCommand.Expire}. When a session ends, it is removed from all queues, but its grants remain
 * until they expire, because the member may not know that its session has ended and may still act.
 *
 * <p>Confined to one thread.
 */
public class LeaseStateMachine implements StateMachine {
    /**
     * The current state of a held lease.
     *
     * @param name the lease's name
     * @param session the holder's session
     * @param token the fencing token of the grant
     * @param renewals number of renewals of the grant
     * @param ttlNanos time to live in nanoseconds
     * @param sessionEnded whether the holder's session has ended
     * @param waiterCount number of queued sessions
     */
    public record HeldLease(
            String name,
            long session,
            long token,
            long renewals,
            long ttlNanos,
            boolean sessionEnded,
            int waiterCount) {}

    private final LeaseLimits limits;
    private TreeMap<String, Lease> leases = new TreeMap<>();
    private long lastToken;

    /** Creates a state machine without leases, whose first token is 1. */
    public LeaseStateMachine() {
        this(0);
    }

    /**
     * @param tokenFloor greatest token that a former, lost log may have granted; all tokens of this
     *     state machine are greater. Must be the same at every replica
     */
    public LeaseStateMachine(long tokenFloor) {
        this(LeaseLimits.STANDARD);
        lastToken = tokenFloor;
    }

    LeaseStateMachine(LeaseLimits limits) {
        this.limits = limits;
    }

    @Override
    public CommandEffects apply(long index, Command command) {
        LeaseCommand decoded;
        try {
            decoded = LeaseCommand.decode(command.body());
        } catch (ClusterException.Malformed e) {
            return CommandEffects.rejected(
                    e.code(), new BinaryCodec.Writer().text(e.getMessage()).toByteArray());
        }
        if (isLeaderCommand(decoded) != command.isFromLeader()) {
            return new LeaseRejection.SenderNotPermitted(decoded.name(), command.session())
                    .toEffects();
        }
        return apply(command.session(), decoded);
    }

    private static boolean isLeaderCommand(LeaseCommand command) {
        return command instanceof LeaseCommand.Expire
                || command instanceof LeaseCommand.RaiseTokenFloor;
    }

    private CommandEffects apply(long session, LeaseCommand command) {
        if (command instanceof LeaseCommand.Acquire acquire) {
            return acquire(session, acquire);
        }
        if (command instanceof LeaseCommand.Withdraw withdraw) {
            return withdraw(session, withdraw.name());
        }
        if (command instanceof LeaseCommand.RaiseTokenFloor raise) {
            lastToken = Math.max(lastToken, raise.floor());
            return done();
        }
        if (command instanceof LeaseCommand.FencedAction action) {
            return perform(action);
        }
        if (command instanceof LeaseCommand.Expire expire) {
            return expire(expire);
        }
        if (command instanceof LeaseCommand.Renew renew) {
            return renew(session, renew);
        }
        if (command instanceof LeaseCommand.Transfer transfer) {
            return transfer(session, transfer);
        }
        return release(session, (LeaseCommand.Release) command);
    }

    private CommandEffects acquire(long session, LeaseCommand.Acquire command) {
        String name = command.name();
        long ttlNanos = command.ttlNanos();
        if (name.isEmpty() || ttlNanos < limits.minTtlNanos() || ttlNanos > limits.maxTtlNanos()) {
            return new LeaseRejection.InvalidTerms(
                            name, ttlNanos, limits.minTtlNanos(), limits.maxTtlNanos())
                    .toEffects();
        }
        Lease lease = leases.get(name);
        if (lease != null) {
            return enqueue(session, command, lease);
        }
        if (leases.size() >= limits.maxLeases()) {
            return new LeaseRejection.TooManyLeases(name, limits.maxLeases()).toEffects();
        }
        lease = new Lease();
        leases.put(name, lease);
        CommandEffects.Event granted = grant(name, lease, new Lease.Waiter(session, ttlNanos));
        return CommandEffects.response(new LeaseAnswer.Held(lease.token()).encode(), granted);
    }

    private CommandEffects enqueue(long session, LeaseCommand.Acquire command, Lease lease) {
        String name = command.name();
        if (lease.isHeldBy(session)) {
            return new LeaseRejection.AlreadyHeld(name, lease.token()).toEffects();
        }
        int position = lease.queuePosition(session);
        if (position > 0) {
            return new LeaseRejection.AlreadyQueued(name, position).toEffects();
        }
        if (!command.queueIfHeld()) {
            return new LeaseRejection.HeldByOther(name, lease.token()).toEffects();
        }
        int waiterCount = lease.waiters().size();
        if (waiterCount >= limits.maxWaitersPerLease()) {
            return new LeaseRejection.QueueFull(name, waiterCount).toEffects();
        }
        lease.enqueue(new Lease.Waiter(session, command.ttlNanos()));
        return CommandEffects.response(new LeaseAnswer.Queued(waiterCount + 1).encode());
    }

    private CommandEffects withdraw(long session, String name) {
        Lease lease = leases.get(name);
        if (lease != null && lease.isHeldBy(session)) {
            // The grant precedes the withdrawal in the log, so the sender must release the lease.
            return new LeaseRejection.AlreadyHeld(name, lease.token()).toEffects();
        }
        if (lease != null) {
            lease.dequeue(session);
        }
        return done();
    }

    /** Only the token is checked: a fenced action may be submitted by any session. */
    private CommandEffects perform(LeaseCommand.FencedAction command) {
        if (!isHolder(command.name(), command.token())) {
            return notHolder(command.name(), command.token());
        }
        LeaseEvent performed =
                new LeaseEvent.ActionPerformed(command.name(), command.token(), command.payload());
        return CommandEffects.response(new LeaseAnswer.Done().encode(), performed.encode());
    }

    private CommandEffects expire(LeaseCommand.Expire command) {
        Lease lease = leases.get(command.name());
        if (!isCurrentToken(lease, command.token())) {
            return notHolder(command.name(), command.token());
        }
        if (isRenewedSince(lease.renewals(), command.renewals())) {
            return new LeaseRejection.RenewedConcurrently(
                            command.name(), command.token(), lease.renewals())
                    .toEffects();
        }
        return endGrant(command.name(), lease, LeaseEvent.EndReason.EXPIRED);
    }

    private CommandEffects renew(long session, LeaseCommand.Renew command) {
        Lease lease = leases.get(command.name());
        if (!isHeldBy(lease, session, command.token())) {
            return notHolder(command.name(), command.token());
        }
        if (lease.isSessionEnded()) {
            return new LeaseRejection.SessionEnded(command.name(), command.token()).toEffects();
        }
        lease.renew();
        return CommandEffects.response(new LeaseAnswer.Held(command.token()).encode());
    }

    private CommandEffects release(long session, LeaseCommand.Release command) {
        Lease lease = leases.get(command.name());
        if (!isHeldBy(lease, session, command.token())) {
            return notHolder(command.name(), command.token());
        }
        return endGrant(command.name(), lease, LeaseEvent.EndReason.RELEASED);
    }

    private CommandEffects transfer(long session, LeaseCommand.Transfer command) {
        Lease lease = leases.get(command.name());
        if (!isHeldBy(lease, session, command.token())) {
            return notHolder(command.name(), command.token());
        }
        int position =
                command.successor() == 0
                        ? Math.min(1, lease.waiters().size())
                        : lease.queuePosition(command.successor());
        if (position == 0) {
            return new LeaseRejection.NoSuccessor(command.name(), command.successor()).toEffects();
        }
        lease.moveToFront(position);
        return endGrant(command.name(), lease, LeaseEvent.EndReason.TRANSFERRED);
    }

    private static boolean isCurrentToken(Lease lease, long token) {
        return lease != null && lease.token() == token;
    }

    private static boolean isHeldBy(Lease lease, long session, long token) {
        return lease != null && lease.isHeldBy(session, token);
    }

    /**
     * Whether the grant was renewed after the leader found it expired. Overridden only by model
     * checks and simulations that remove this safeguard.
     *
     * @param renewals current number of renewals of the grant
     * @param observedRenewals number of renewals that the leader had observed
     */
    boolean isRenewedSince(long renewals, long observedRenewals) {
        return renewals != observedRenewals;
    }

    /**
     * Whether the end of a session ends its grants immediately. False, because the member may act
     * under them until they expire. Overridden only by model checks and simulations that remove
     * this safeguard.
     */
    boolean endsGrantsWithSession() {
        return false;
    }

    private CommandEffects.Event grant(String name, Lease lease, Lease.Waiter next) {
        lastToken++;
        lease.grantTo(next, lastToken);
        return new LeaseEvent.Granted(name, lastToken, next.session()).encode();
    }

    private CommandEffects endGrant(String name, Lease lease, LeaseEvent.EndReason reason) {
        return CommandEffects.response(
                new LeaseAnswer.Done().encode(),
                grantNext(name, lease, reason).toArray(CommandEffects.Event[]::new));
    }

    /**
     * Ends the current grant and grants the lease to the first session of the queue, if there is
     * one.
     */
    private List<CommandEffects.Event> grantNext(
            String name, Lease lease, LeaseEvent.EndReason reason) {
        CommandEffects.Event ended = new LeaseEvent.Ended(name, lease.token(), reason).encode();
        if (lease.waiters().isEmpty()) {
            leases.remove(name);
            return List.of(ended);
        }
        return List.of(ended, grant(name, lease, lease.removeFirst()));
    }

    @Override
    public CommandEffects sessionEnded(long index, long session) {
        List<CommandEffects.Event> events = new ArrayList<>();
        for (String name : List.copyOf(leases.keySet())) {
            Lease lease = leases.get(name);
            lease.dequeue(session);
            if (lease.isHeldBy(session)) {
                lease.markSessionEnded();
                if (endsGrantsWithSession()) {
                    events.addAll(grantNext(name, lease, LeaseEvent.EndReason.EXPIRED));
                }
            }
        }
        return new CommandEffects(null, new byte[0], events);
    }

    /**
     * Whether the token is that of the current holder. Called by other state machines of the same
     * log when they apply a command that carries a token.
     */
    public boolean isHolder(String name, long token) {
        return isCurrentToken(leases.get(name), token);
    }

    /** All held leases in the order of their names. */
    public List<HeldLease> heldLeases() {
        List<HeldLease> held = new ArrayList<>();
        leases.forEach((name, lease) -> held.add(lease.view(name)));
        return held;
    }

    /** The greatest token ever granted. */
    public long lastToken() {
        return lastToken;
    }

    /**
     * Returns the current grant of a lease.
     *
     * @param encodedName the lease's name, encoded as text
     * @return token, session, renewals and number of waiters; all 0 if the lease is not held
     */
    @Override
    public byte[] query(byte[] encodedName) {
        String name =
                new BinaryCodec.Reader("lease question", encodedName)
                        .text(LeaseLimits.MAX_NAME_BYTES);
        Lease lease = leases.get(name);
        BinaryCodec.Writer out = new BinaryCodec.Writer();
        if (lease == null) {
            return out.i64(0).i64(0).i64(0).i32(0).toByteArray();
        }
        HeldLease held = lease.view(name);
        return out.i64(held.token())
                .i64(held.session())
                .i64(held.renewals())
                .i32(held.waiterCount())
                .toByteArray();
    }

    private CommandEffects notHolder(String name, long token) {
        Lease lease = leases.get(name);
        long holderToken = lease == null ? 0 : lease.token();
        return new LeaseRejection.NotHolder(name, token, holderToken).toEffects();
    }

    private static CommandEffects done() {
        return CommandEffects.response(new LeaseAnswer.Done().encode());
    }

    @Override
    public byte[] snapshot() {
        return new LeaseSnapshot(lastToken, leases).encode();
    }

    @Override
    public void restore(byte[] snapshot) {
        LeaseSnapshot decoded = LeaseSnapshot.decode(snapshot);
        leases = decoded.leases();
        lastToken = decoded.lastToken();
    }
}
