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
    static final String NAME = "task";

    /** Kinds of commands under way. */
    static final byte ACQUIRE = 1;

    static final byte RENEW = 2;
    static final byte RELEASE = 3;
    static final byte WITHDRAW = 4;
    static final byte TRANSFER = 5;
    static final byte ACT = 6;
    static final byte EXPIRE = 7;
    static final byte END_OF_SESSION = 8;

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
    record Step(int next, byte answer, byte answerToken, byte granted, byte to, byte acted) {}

    private final LeaseComponents parts;
    private final long ttl;
    private final List<byte[]> snapshots = new ArrayList<>();
    private final List<LeaseStateMachine> machines = new ArrayList<>();
    private final Map<String, Integer> numbers = new HashMap<>();
    private final Map<Long, Step> steps = new HashMap<>();

    LeaseTransitions(LeaseComponents parts, long ttl) {
        this.parts = parts;
        this.ttl = ttl;
        number(parts.machine(null));
    }

    /** To be read only. */
    LeaseStateMachine machine(int id) {
        return machines.get(id);
    }

    int renewals(int id) {
        List<LeaseStateMachine.HeldLease> held = machines.get(id).heldLeases();
        return held.isEmpty() ? 0 : (int) held.get(0).renewals();
    }

    Step step(int id, int session, byte kind, byte token, byte more) {
        long key = ((((long) id << 8 | session) << 8 | kind) << 8 | token) << 8 | more;
        Step step = steps.get(key);
        if (step == null) {
            step = take(id, session, kind, token, more);
            steps.put(key, step);
        }
        return step;
    }

    private Step take(int id, int session, byte kind, byte token, byte more) {
        LeaseStateMachine machine = parts.machine(snapshots.get(id));
        CommandEffects effects =
                kind == END_OF_SESSION
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
        } else if (kind != END_OF_SESSION) {
            LeaseAnswer said = LeaseAnswer.decode(effects.response());
            answer =
                    said instanceof LeaseAnswer.Held
                            ? HOLDS
                            : said instanceof LeaseAnswer.Queued ? WAITS : DONE;
            answerToken = said instanceof LeaseAnswer.Held held ? (byte) held.token() : 0;
        }
        return new Step(number(machine), answer, answerToken, granted, to, acted);
    }

    LeaseCommand command(byte kind, byte token, byte more) {
        return switch (kind) {
            case ACQUIRE -> new LeaseCommand.Acquire(NAME, ttl, true);
            case RENEW -> new LeaseCommand.Renew(NAME, token);
            case RELEASE -> new LeaseCommand.Release(NAME, token);
            case WITHDRAW -> new LeaseCommand.Withdraw(NAME);
            case TRANSFER -> new LeaseCommand.Transfer(NAME, token, 0);
            case ACT -> new LeaseCommand.FencedAction(NAME, token, new byte[] {more});
            case EXPIRE -> new LeaseCommand.Expire(NAME, token, more);
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
    static void tell(LeaseHolder holder, byte answer, byte token) {
        long now = LeaseModelState.NOW;
        int number = LeaseModelState.NUMBER;
        switch (answer) {
            case HOLDS -> holder.onAnswer(now, number, new LeaseAnswer.Held(token));
            case WAITS -> holder.onAnswer(now, number, new LeaseAnswer.Queued(1));
            case DONE -> holder.onAnswer(now, number, new LeaseAnswer.Done());
            case ALREADY_HOLDS ->
                    holder.onRejected(now, number, new LeaseRejection.AlreadyHeld(NAME, token));
            case ALREADY_WAITS ->
                    holder.onRejected(now, number, new LeaseRejection.AlreadyQueued(NAME, 1));
            case NO_SUCCESSOR ->
                    holder.onRejected(now, number, new LeaseRejection.NoSuccessor(NAME, 0));
            default -> holder.onRejected(now, number, new LeaseRejection.NotHolder(NAME, token, 0));
        }
    }

    private int number(LeaseStateMachine machine) {
        byte[] snapshot = machine.snapshot();
        return numbers.computeIfAbsent(
                Arrays.toString(snapshot),
                key -> {
                    snapshots.add(snapshot);
                    machines.add(parts.machine(snapshot));
                    return snapshots.size() - 1;
                });
    }
}
