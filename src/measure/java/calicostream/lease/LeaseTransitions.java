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
 * The transitions of the replicated {@link LeaseStateMachine} for {@link LeaseModel}. Each state of
 * the state machine has an identifier. The effect of a command on a state is computed once by the
 * production class and cached. Every transition includes a snapshot and a restore.
 */
final class LeaseTransitions {
    static final String LEASE = "task";

    /** Kinds of commands in a model's state. */
    static final byte ACQUIRE = 1;

    static final byte RENEW = 2;
    static final byte RELEASE = 3;
    static final byte WITHDRAW = 4;
    static final byte TRANSFER = 5;
    static final byte FENCED_ACTION = 6;
    static final byte EXPIRE = 7;
    static final byte SESSION_ENDED = 8;

    /** Kinds of answers in a model's state. */
    static final byte HELD = 1;

    static final byte QUEUED = 2;
    static final byte DONE = 3;
    static final byte REJECTED = 4;
    static final byte ALREADY_HELD = 5;
    static final byte ALREADY_QUEUED = 6;
    static final byte NO_SUCCESSOR = 7;

    /**
     * The effect of a command.
     *
     * @param next identifier of the resulting state
     * @param answer kind of the answer
     * @param answerToken token in the answer; 0 if none
     * @param grantedToken token that was granted; 0 if none
     * @param grantedSession session that was granted the lease; 0 if none
     * @param actionToken token of an action that was applied; 0 if none
     */
    record Transition(
            int next,
            byte answer,
            byte answerToken,
            byte grantedToken,
            byte grantedSession,
            byte actionToken) {}

    private final LeaseComponents components;
    private final long ttlNanos;
    private final List<byte[]> snapshots = new ArrayList<>();
    private final List<LeaseStateMachine> machines = new ArrayList<>();
    private final Map<String, Integer> snapshotIds = new HashMap<>();
    private final Map<Long, Transition> transitions = new HashMap<>();

    LeaseTransitions(LeaseComponents components, long ttlNanos) {
        this.components = components;
        this.ttlNanos = ttlNanos;
        snapshotId(components.createMachine(null));
    }

    /** The state machine in the given state, which must not be changed. */
    LeaseStateMachine machine(int snapshotId) {
        return machines.get(snapshotId);
    }

    int renewals(int snapshotId) {
        List<LeaseStateMachine.HeldLease> held = machines.get(snapshotId).heldLeases();
        return held.isEmpty() ? 0 : (int) held.get(0).renewals();
    }

    Transition apply(int snapshotId, int session, byte kind, byte token, byte argument) {
        long key = ((((long) snapshotId << 8 | session) << 8 | kind) << 8 | token) << 8 | argument;
        Transition transition = transitions.get(key);
        if (transition == null) {
            transition = applyUncached(snapshotId, session, kind, token, argument);
            transitions.put(key, transition);
        }
        return transition;
    }

    private Transition applyUncached(
            int snapshotId, int session, byte kind, byte token, byte argument) {
        LeaseStateMachine machine = components.createMachine(snapshots.get(snapshotId));
        CommandEffects effects =
                kind == SESSION_ENDED
                        ? machine.sessionEnded(1, session)
                        : machine.apply(
                                1,
                                new Command(
                                        kind == EXPIRE ? 0 : session,
                                        0,
                                        0,
                                        createCommand(kind, token, argument).encode()));
        byte grantedToken = 0;
        byte grantedSession = 0;
        byte actionToken = 0;
        for (CommandEffects.Event encoded : effects.events()) {
            LeaseEvent event = LeaseEvent.decode(encoded);
            if (event instanceof LeaseEvent.Granted granted) {
                grantedToken = (byte) granted.token();
                grantedSession = (byte) granted.session();
            } else if (event instanceof LeaseEvent.ActionPerformed action) {
                actionToken = (byte) action.token();
            }
        }
        byte answer = DONE;
        byte answerToken = 0;
        if (!effects.isAccepted()) {
            LeaseRejection rejection =
                    LeaseRejection.decode(effects.rejectionCode(), effects.response());
            answer = answerKind(rejection);
            if (rejection instanceof LeaseRejection.AlreadyHeld held) {
                answerToken = (byte) held.token();
            }
        } else if (kind != SESSION_ENDED) {
            LeaseAnswer decoded = LeaseAnswer.decode(effects.response());
            answer = answerKind(decoded);
            if (decoded instanceof LeaseAnswer.Held held) {
                answerToken = (byte) held.token();
            }
        }
        return new Transition(
                snapshotId(machine),
                answer,
                answerToken,
                grantedToken,
                grantedSession,
                actionToken);
    }

    private static byte answerKind(LeaseAnswer answer) {
        if (answer instanceof LeaseAnswer.Held) {
            return HELD;
        }
        return answer instanceof LeaseAnswer.Queued ? QUEUED : DONE;
    }

    private static byte answerKind(LeaseRejection rejection) {
        if (rejection instanceof LeaseRejection.AlreadyHeld) {
            return ALREADY_HELD;
        }
        if (rejection instanceof LeaseRejection.AlreadyQueued) {
            return ALREADY_QUEUED;
        }
        return rejection instanceof LeaseRejection.NoSuccessor ? NO_SUCCESSOR : REJECTED;
    }

    LeaseCommand createCommand(byte kind, byte token, byte argument) {
        return switch (kind) {
            case ACQUIRE -> new LeaseCommand.Acquire(LEASE, ttlNanos, true);
            case RENEW -> new LeaseCommand.Renew(LEASE, token);
            case RELEASE -> new LeaseCommand.Release(LEASE, token);
            case WITHDRAW -> new LeaseCommand.Withdraw(LEASE);
            case TRANSFER -> new LeaseCommand.Transfer(LEASE, token, 0);
            case FENCED_ACTION ->
                    new LeaseCommand.FencedAction(LEASE, token, new byte[] {argument});
            case EXPIRE -> new LeaseCommand.Expire(LEASE, token, argument);
            default -> throw new IllegalArgumentException("unknown command kind " + kind);
        };
    }

    static byte kind(LeaseCommand command) {
        if (command instanceof LeaseCommand.Acquire) {
            return ACQUIRE;
        }
        if (command instanceof LeaseCommand.Renew) {
            return RENEW;
        }
        if (command instanceof LeaseCommand.Release) {
            return RELEASE;
        }
        return command instanceof LeaseCommand.Withdraw ? WITHDRAW : TRANSFER;
    }

    static byte token(LeaseCommand command) {
        if (command instanceof LeaseCommand.Renew renew) {
            return (byte) renew.token();
        }
        if (command instanceof LeaseCommand.Release release) {
            return (byte) release.token();
        }
        return command instanceof LeaseCommand.Transfer transfer ? (byte) transfer.token() : 0;
    }

    /** Delivers an answer to a holder. */
    static void deliverAnswer(LeaseHolder holder, byte answer, byte token) {
        long now = LeaseModelMember.NOW;
        int number = LeaseModelMember.REQUEST_NUMBER;
        switch (answer) {
            case HELD -> holder.onAnswer(now, number, new LeaseAnswer.Held(token));
            case QUEUED -> holder.onAnswer(now, number, new LeaseAnswer.Queued(1));
            case DONE -> holder.onAnswer(now, number, new LeaseAnswer.Done());
            case ALREADY_HELD ->
                    holder.onRejected(now, number, new LeaseRejection.AlreadyHeld(LEASE, token));
            case ALREADY_QUEUED ->
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
