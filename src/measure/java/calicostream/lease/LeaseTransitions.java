// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.Command;
import calicostream.cluster.CommandEffects;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The replicated machine as the model sees it: each state it was ever in has a number, and what a
 * command does to it is asked of the product's own class once and remembered. Every step goes
 * through a snapshot and a restore.
 */
final class LeaseTransitions {
    static final String LEASE = "task";

    /** Kinds of commands under way. */
    static final byte ACQUIRE = 1;

    static final byte RENEW = 2;
    static final byte RELEASE = 3;
    static final byte WITHDRAW = 4;
    static final byte TRANSFER = 5;
    static final byte ACT = 6;
    static final byte EXPIRE = 7;
    static final byte SESSION_ENDED = 8;

    /** Kinds of answers under way. */
    static final byte HOLDS = 1;

    static final byte WAITS = 2;
    static final byte DONE = 3;
    static final byte REFUSED = 4;
    static final byte ALREADY_HOLDS = 5;
    static final byte ALREADY_WAITS = 6;
    static final byte NO_SUCCESSOR = 7;

    /**
     * What a command led to; {@code granted} and {@code acted} are tokens, 0 if there was no such
     * event.
     */
    record Transition(
            int next,
            byte answer,
            byte answerToken,
            byte grantedToken,
            byte grantedSession,
            byte actionToken) {}

    private final LeaseComponents components;
    private final long ttl;
    private final List<byte[]> snapshots = new ArrayList<>();
    private final List<LeaseStateMachine> machines = new ArrayList<>();
    private final Map<String, Integer> snapshotIds = new HashMap<>();
    private final Map<Long, Transition> transitions = new HashMap<>();

    LeaseTransitions(LeaseComponents parts, long ttl) {
        this.components = parts;
        this.ttl = ttl;
        snapshotId(parts.createMachine(null));
    }

    /** To be read only. */
    LeaseStateMachine machine(int id) {
        return machines.get(id);
    }

    int renewals(int id) {
        List<LeaseStateMachine.HeldLease> held = machines.get(id).heldLeases();
        return held.isEmpty() ? 0 : (int) held.get(0).renewals();
    }

    Transition apply(int id, int session, byte kind, byte token, byte more) {
        long key = ((((long) id << 8 | session) << 8 | kind) << 8 | token) << 8 | more;
        Transition step = transitions.get(key);
        if (step == null) {
            step = applyUncached(id, session, kind, token, more);
            transitions.put(key, step);
        }
        return step;
    }

    private Transition applyUncached(int id, int session, byte kind, byte token, byte more) {
        LeaseStateMachine machine = components.createMachine(snapshots.get(id));
        CommandEffects effects =
                kind == SESSION_ENDED
                        ? machine.sessionEnded(1, session)
                        : machine.apply(
                                1,
                                new Command(
                                        kind == EXPIRE ? 0 : session,
                                        0,
                                        0,
                                        command(kind, token, more).encode()));
        byte granted = 0;
        byte to = 0;
        byte acted = 0;
        for (CommandEffects.Event each : effects.events()) {
            LeaseEvent event = LeaseEvent.decode(each);
            if (event instanceof LeaseEvent.Granted g) {
                granted = (byte) g.token();
                to = (byte) g.session();
            } else if (event instanceof LeaseEvent.ActionPerformed a) {
                acted = (byte) a.token();
            }
        }
        byte answer = DONE;
        byte answerToken = 0;
        if (!effects.isAccepted()) {
            LeaseRejection why = LeaseRejection.decode(effects.rejectionCode(), effects.response());
            answer =
                    why instanceof LeaseRejection.AlreadyHeld
                            ? ALREADY_HOLDS
                            : why instanceof LeaseRejection.AlreadyQueued
                                    ? ALREADY_WAITS
                                    : why instanceof LeaseRejection.NoSuccessor
                                            ? NO_SUCCESSOR
                                            : REFUSED;
            answerToken = why instanceof LeaseRejection.AlreadyHeld held ? (byte) held.token() : 0;
        } else if (kind != SESSION_ENDED) {
            LeaseAnswer said = LeaseAnswer.decode(effects.response());
            answer =
                    said instanceof LeaseAnswer.Held
                            ? HOLDS
                            : said instanceof LeaseAnswer.Queued ? WAITS : DONE;
            answerToken = said instanceof LeaseAnswer.Held held ? (byte) held.token() : 0;
        }
        return new Transition(snapshotId(machine), answer, answerToken, granted, to, acted);
    }

    LeaseCommand command(byte kind, byte token, byte more) {
        return switch (kind) {
            case ACQUIRE -> new LeaseCommand.Acquire(LEASE, ttl, true);
            case RENEW -> new LeaseCommand.Renew(LEASE, token);
            case RELEASE -> new LeaseCommand.Release(LEASE, token);
            case WITHDRAW -> new LeaseCommand.Withdraw(LEASE);
            case TRANSFER -> new LeaseCommand.Transfer(LEASE, token, 0);
            case ACT -> new LeaseCommand.FencedAction(LEASE, token, new byte[] {more});
            case EXPIRE -> new LeaseCommand.Expire(LEASE, token, more);
            default -> throw new IllegalArgumentException("no command has the kind " + kind);
        };
    }

    static byte kind(LeaseCommand command) {
        return command instanceof LeaseCommand.Acquire
                ? ACQUIRE
                : command instanceof LeaseCommand.Renew
                        ? RENEW
                        : command instanceof LeaseCommand.Release
                                ? RELEASE
                                : command instanceof LeaseCommand.Withdraw ? WITHDRAW : TRANSFER;
    }

    static byte token(LeaseCommand command) {
        return (byte)
                (command instanceof LeaseCommand.Renew r
                        ? r.token()
                        : command instanceof LeaseCommand.Release r
                                ? r.token()
                                : command instanceof LeaseCommand.Transfer t ? t.token() : 0);
    }

    /** Tells a holder an answer as its class takes it. */
    static void deliverAnswer(LeaseHolder holder, byte answer, byte token) {
        long now = LeaseModelMember.NOW;
        int number = LeaseModelMember.REQUEST_NUMBER;
        switch (answer) {
            case HOLDS -> holder.onAnswer(now, number, new LeaseAnswer.Held(token));
            case WAITS -> holder.onAnswer(now, number, new LeaseAnswer.Queued(1));
            case DONE -> holder.onAnswer(now, number, new LeaseAnswer.Done());
            case ALREADY_HOLDS ->
                    holder.onRejected(now, number, new LeaseRejection.AlreadyHeld(LEASE, token));
            case ALREADY_WAITS ->
                    holder.onRejected(now, number, new LeaseRejection.AlreadyQueued(LEASE, 1));
            case NO_SUCCESSOR ->
                    holder.onRejected(now, number, new LeaseRejection.NoSuccessor(LEASE, 0));
            default ->
                    holder.onRejected(now, number, new LeaseRejection.NotHolder(LEASE, token, 0));
        }
    }

    private int snapshotId(LeaseStateMachine machine) {
        byte[] snapshot = machine.snapshot();
        return snapshotIds.computeIfAbsent(
                Arrays.toString(snapshot),
                key -> {
                    snapshots.add(snapshot);
                    machines.add(components.createMachine(snapshot));
                    return snapshots.size() - 1;
                });
    }
}
