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
 * All leases of the fleet, as every copy applies them: one holder a name, those who wait in the
 * order they came, and one token for the whole machine that grows with each grant and is never
 * given twice, also over snapshots and leases that were forgotten meanwhile. A function of its
 * calls; one thread. It reads no clock: a lease ends by its holder's word or by {@link
 * LeaseCommand.Expire}.
 *
 * <p>The end of a session ends its waiting at once, but not what it holds: the member may not have
 * heard and may count on.
 */
public class LeaseMachine implements StateMachine {
    private static final int VERSION = 1;
    private static final int WAITER_BYTES = 16;
    private static final int LEASE_BYTES = 41;

    /** One lease as it is held now. {@code ended}: the holder's session is over. */
    public record View(
            String name,
            long session,
            long token,
            long renewals,
            long ttl,
            boolean ended,
            int waiting) {}

    private record Waiter(long session, long ttl) {}

    private static final class Lease {
        final List<Waiter> waiting = new ArrayList<>();
        long session;
        long token;
        long renewals;
        long ttl;
        boolean ended;

        /** Place in the queue from 1 up; 0 if it does not wait. */
        int place(long of) {
            for (int i = 0; i < waiting.size(); i++) {
                if (waiting.get(i).session == of) {
                    return i + 1;
                }
            }
            return 0;
        }
    }

    private final LeaseLimits limits;
    private TreeMap<String, Lease> leases = new TreeMap<>();
    private long lastToken;

    public LeaseMachine() {
        this(0);
    }

    /**
     * @param tokensAbove what an earlier log may have given: all tokens of this one are above; the
     *     same at every copy, for ever
     */
    public LeaseMachine(long tokensAbove) {
        this(LeaseLimits.STANDARD);
        lastToken = tokensAbove;
    }

    LeaseMachine(LeaseLimits limits) {
        this.limits = limits;
    }

    // ---- Commands
    // -------------------------------------------------------------------------------------
    @Override
    public CommandEffects apply(long index, Command command) {
        LeaseCommand said;
        try {
            said = LeaseCommand.decode(command.body());
        } catch (ClusterException.Malformed e) {
            return CommandEffects.rejected(
                    e.code(), new BinaryCodec.Writer().text(e.getMessage()).toByteArray());
        }
        boolean leaders =
                said instanceof LeaseCommand.Expire || said instanceof LeaseCommand.RaiseTokens;
        if (leaders != command.isFromLeader()) {
            return new LeaseRejection.NotItsToSay(said.name(), command.session()).refusal();
        }
        if (said instanceof LeaseCommand.Acquire a) {
            return acquire(command.session(), a);
        } else if (said instanceof LeaseCommand.Withdraw w) {
            return withdraw(command.session(), w.name());
        } else if (said instanceof LeaseCommand.RaiseTokens r) {
            lastToken = Math.max(lastToken, r.least());
            return done();
        }
        return ofHolder(command.session(), said);
    }

    private CommandEffects acquire(long session, LeaseCommand.Acquire said) {
        String name = said.name();
        if (name.isEmpty() || said.ttl() < limits.leastTtl() || said.ttl() > limits.mostTtl()) {
            return new LeaseRejection.BadTerms(
                            name, said.ttl(), limits.leastTtl(), limits.mostTtl())
                    .refusal();
        }
        Lease lease = leases.get(name);
        if (lease == null) {
            if (leases.size() >= limits.leases()) {
                return new LeaseRejection.TooManyLeases(name, limits.leases()).refusal();
            }
            lease = new Lease();
            leases.put(name, lease);
            return CommandEffects.response(
                    new LeaseAnswer.Holds(lastToken + 1).encode(),
                    grant(name, lease, new Waiter(session, said.ttl())));
        }
        if (lease.session == session) {
            return new LeaseRejection.AlreadyHolds(name, lease.token).refusal();
        }
        if (lease.place(session) > 0) {
            return new LeaseRejection.AlreadyWaits(name, lease.place(session)).refusal();
        }
        if (!said.queue()) {
            return new LeaseRejection.IsHeld(name, lease.token).refusal();
        }
        if (lease.waiting.size() >= limits.waiters()) {
            return new LeaseRejection.QueueFull(name, lease.waiting.size()).refusal();
        }
        lease.waiting.add(new Waiter(session, said.ttl()));
        return CommandEffects.response(new LeaseAnswer.Waits(lease.waiting.size()).encode());
    }

    private CommandEffects withdraw(long session, String name) {
        Lease lease = leases.get(name);
        if (lease != null && lease.session == session) {
            return new LeaseRejection.AlreadyHolds(name, lease.token)
                    .refusal(); // The grant overtook the withdrawal.
        }
        if (lease != null) {
            lease.waiting.removeIf(each -> each.session == session);
        }
        return done();
    }

    /** What only the holder's token opens, whoever sends it. */
    private CommandEffects ofHolder(long session, LeaseCommand said) {
        String name = said.name();
        Lease lease = leases.get(name);
        if (said instanceof LeaseCommand.Act a) {
            return isHolder(name, a.token())
                    ? CommandEffects.response(
                            new LeaseAnswer.Done().encode(),
                            new LeaseEvent.Acted(name, a.token(), a.payload()).encode())
                    : notHolder(name, a.token());
        }
        if (said instanceof LeaseCommand.Expire e) {
            if (!holds(lease, e.token())) {
                return notHolder(name, e.token());
            }
            return renewedSince(lease.renewals, e.renewals())
                    ? new LeaseRejection.RenewedMeanwhile(name, e.token(), lease.renewals).refusal()
                    : CommandEffects.response(
                            new LeaseAnswer.Done().encode(),
                            free(name, lease, LeaseEvent.Why.EXPIRED));
        }
        if (said instanceof LeaseCommand.Renew r) {
            if (!holds(lease, r.token()) || lease.session != session) {
                return notHolder(name, r.token());
            }
            if (lease.ended) {
                return new LeaseRejection.SessionEnded(name, r.token()).refusal();
            }
            lease.renewals++;
            return CommandEffects.response(new LeaseAnswer.Holds(r.token()).encode());
        }
        if (said instanceof LeaseCommand.Transfer t) {
            return holds(lease, t.token()) && lease.session == session
                    ? transfer(lease, t)
                    : notHolder(name, t.token());
        }
        LeaseCommand.Release r = (LeaseCommand.Release) said;
        return holds(lease, r.token()) && lease.session == session
                ? CommandEffects.response(
                        new LeaseAnswer.Done().encode(), free(name, lease, LeaseEvent.Why.RELEASED))
                : notHolder(name, r.token());
    }

    private CommandEffects transfer(Lease lease, LeaseCommand.Transfer said) {
        int place = said.to() == 0 ? Math.min(1, lease.waiting.size()) : lease.place(said.to());
        if (place == 0) {
            return new LeaseRejection.NoSuccessor(said.name(), said.to()).refusal();
        }
        lease.waiting.add(0, lease.waiting.remove(place - 1));
        return CommandEffects.response(
                new LeaseAnswer.Done().encode(),
                free(said.name(), lease, LeaseEvent.Why.TRANSFERRED));
    }

    private static boolean holds(Lease lease, long token) {
        return lease != null && lease.token == token;
    }

    /** Whether a grant that was renewed so often is another than the leader meant. */
    boolean renewedSince(long renewals, long seen) {
        return renewals != seen;
    }

    /**
     * Whether a session that ends ends its leases too: never, as its member may count on until they
     * run out.
     */
    boolean endsWithSession() {
        return false;
    }

    // ---- Grants
    // ---------------------------------------------------------------------------------------
    private CommandEffects.Event grant(String name, Lease lease, Waiter next) {
        lease.session = next.session;
        lease.ttl = next.ttl;
        lease.token = ++lastToken;
        lease.renewals = 0;
        lease.ended = false;
        return new LeaseEvent.Granted(name, lease.token, next.session).encode();
    }

    private CommandEffects.Event[] free(String name, Lease lease, LeaseEvent.Why why) {
        CommandEffects.Event freed = new LeaseEvent.Freed(name, lease.token, why).encode();
        if (lease.waiting.isEmpty()) {
            leases.remove(name);
            return new CommandEffects.Event[] {freed};
        }
        return new CommandEffects.Event[] {freed, grant(name, lease, lease.waiting.remove(0))};
    }

    @Override
    public CommandEffects sessionEnded(long index, long session) {
        List<CommandEffects.Event> events = new ArrayList<>();
        for (String name : List.copyOf(leases.keySet())) {
            Lease lease = leases.get(name);
            lease.waiting.removeIf(waiter -> waiter.session == session);
            if (lease.session == session) {
                lease.ended = true;
                if (endsWithSession()) {
                    events.addAll(List.of(free(name, lease, LeaseEvent.Why.EXPIRED)));
                }
            }
        }
        return new CommandEffects(null, new byte[0], events);
    }

    // ---- Questions
    // ------------------------------------------------------------------------------------
    /**
     * Whether that token is the holder's now. A machine beside this one, in the same log, asks it
     * where it applies a leased command.
     */
    public boolean isHolder(String name, long token) {
        return holds(leases.get(name), token);
    }

    /** All leases that are held, by name. */
    public List<View> held() {
        List<View> views = new ArrayList<>();
        leases.forEach(
                (name, l) ->
                        views.add(
                                new View(
                                        name,
                                        l.session,
                                        l.token,
                                        l.renewals,
                                        l.ttl,
                                        l.ended,
                                        l.waiting.size())));
        return views;
    }

    /** The greatest token that was ever given. */
    public long lastToken() {
        return lastToken;
    }

    /** Body: a name. Answer: token, session, renewals, waiting; all 0 if nobody holds. */
    @Override
    public byte[] query(byte[] question) {
        Lease lease =
                leases.get(
                        new BinaryCodec.Reader("lease question", question).text(LeaseLimits.NAME));
        BinaryCodec.Writer out = new BinaryCodec.Writer();
        return lease == null
                ? out.i64(0).i64(0).i64(0).i32(0).toByteArray()
                : out.i64(lease.token)
                        .i64(lease.session)
                        .i64(lease.renewals)
                        .i32(lease.waiting.size())
                        .toByteArray();
    }

    private CommandEffects notHolder(String name, long token) {
        Lease lease = leases.get(name);
        return new LeaseRejection.NotHolder(name, token, lease == null ? 0 : lease.token).refusal();
    }

    private static CommandEffects done() {
        return CommandEffects.response(new LeaseAnswer.Done().encode());
    }

    // ---- Snapshots
    // ------------------------------------------------------------------------------------
    @Override
    public byte[] snapshot() {
        BinaryCodec.Writer out =
                new BinaryCodec.Writer().u8(VERSION).i64(lastToken).i32(leases.size());
        leases.forEach(
                (name, lease) -> {
                    out.text(name)
                            .i64(lease.session)
                            .i64(lease.token)
                            .i64(lease.renewals)
                            .i64(lease.ttl)
                            .u8(lease.ended ? 1 : 0);
                    out.i32(lease.waiting.size());
                    lease.waiting.forEach(each -> out.i64(each.session).i64(each.ttl));
                });
        return out.toByteArray();
    }

    @Override
    public void restore(byte[] snapshot) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("lease snapshot", snapshot);
        in.requireVersion(VERSION);
        long last = in.i64();
        TreeMap<String, Lease> read = new TreeMap<>();
        for (int left = in.count(LEASE_BYTES); left > 0; left--) {
            String name = in.text(LeaseLimits.NAME);
            Lease lease = new Lease();
            lease.session = in.i64();
            lease.token = in.i64();
            lease.renewals = in.i64();
            lease.ttl = in.i64();
            lease.ended = in.u8() != 0;
            for (int waiters = in.count(WAITER_BYTES); waiters > 0; waiters--) {
                lease.waiting.add(new Waiter(in.i64(), in.i64()));
            }
            if (lease.token > last || read.put(name, lease) != null) {
                throw in.malformed("lease " + name + " twice, or a token of it after the last one");
            }
        }
        in.requireEnd();
        leases = read;
        lastToken = last;
    }
}
