// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.Command;
import calicostream.cluster.CommandEffects;
import calicostream.prove.Model;
import calicostream.prove.Mutant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A model of three voters and their logs, in the detail that the loss of a voter's state requires.
 * A vote and a copy of the log are one transition each, any voter becomes a candidate at any time,
 * an outdated leader remains leader until it learns of a newer term, and a voter may lose all of
 * its state. Entries that a majority has stored are applied by the production {@link
 * LeaseStateMachine}. With the safeguard, a voter that lost its state is a learner until all voters
 * have the leader's term and log, as a change of voters would require.
 *
 * <p>Invariant: no token is granted to two sessions, and no grant is lost. Assumption: no second
 * voter loses its state while the first is still a learner.
 */
public final class VoterModel implements Model {
    /**
     * Bounds of the model.
     *
     * @param terms maximum number of terms
     * @param entries maximum number of entries in a log
     * @param stateLosses maximum number of losses of a voter's state
     * @param commands number of different commands that are proposed, at most six
     */
    public record Bounds(int terms, int entries, int stateLosses, int commands) {}

    private static final int VOTERS = 3;
    private static final int TOKENS = 3;

    // Offsets in a state: the history that the invariant needs, then the voters.
    private static final int GRANTED_SESSIONS = 0; // for each token, the session it was granted to
    private static final int STATE_LOSSES_LEFT = 3;
    private static final int MAJORITY_LENGTH = 4; // length of the longest log stored by a majority
    private static final int HEADER_BYTES = 5;

    // Offsets in the bytes of a voter.
    private static final int TERM = 0;
    private static final int VOTED_FOR = 1; // number of the candidate, from 1 up; 0 if none
    private static final int ROLE = 2;
    private static final int VOTES = 3; // votes received by a candidate, as bits
    private static final int ACKNOWLEDGED = 4; // of a leader: acknowledged length of each log
    private static final int LENGTH = 7; // number of log entries
    private static final int LOG = 8; // log entries, each term << 4 | command

    private static final int FOLLOWER = 0;
    private static final int CANDIDATE = 1;
    private static final int LEADER = 2;
    private static final int LEARNER = 3;

    /**
     * Command number of an entry without a command. With the numbers 1 and 2, session 1 or 2
     * acquires the lease; with 3 to 6, session 1 or 2 releases it under token 1 or 2.
     */
    private static final int NO_COMMAND = 0;

    private static final int BECOME_CANDIDATE = 0;
    private static final int VOTE = 1;
    private static final int APPEND = 2;
    private static final int COPY_LOG = 3;
    private static final int COMMIT = 4;
    private static final int LOSE_STATE = 5;
    private static final int BECOME_VOTER = 6;
    private static final int RESTART = 7;
    private static final String[] DESCRIPTIONS = {
        " becomes a candidate",
        " votes for voter ",
        " as leader appends",
        " receives the log of voter ",
        " learns that a majority has stored its log",
        " loses its state",
        " is made a voter again by voter ",
        " restarts"
    };

    private final Bounds bounds;
    private final LeaseComponents components;
    private final int voterBytes;
    private final Map<String, byte[]> grantedSessions = new HashMap<>();

    /**
     * @param removed the safeguard to remove; null for none
     */
    public VoterModel(Bounds bounds, Mutant removed) {
        this.bounds = bounds;
        components = new LeaseComponents(removed, LeaseLimits.STANDARD, ClockDriftBound.STANDARD);
        voterBytes = LOG + bounds.entries;
    }

    @Override
    public String name() {
        return "voters that lose their state";
    }

    @Override
    public List<byte[]> initial() {
        byte[] state = new byte[HEADER_BYTES + VOTERS * voterBytes];
        state[STATE_LOSSES_LEFT] = (byte) bounds.stateLosses;
        return List.of(state);
    }

    @Override
    public String describe(int action) {
        int kind = action >> 6;
        int voter = 1 + (action >> 4 & 3);
        int argument = action & 15;
        String description = "voter " + voter + DESCRIPTIONS[kind];
        return switch (kind) {
            case VOTE, COPY_LOG, BECOME_VOTER -> description + (argument + 1);
            case APPEND -> description + describeCommand(argument);
            default -> description;
        };
    }

    private static String describeCommand(int command) {
        if (command == NO_COMMAND) {
            return " nothing";
        }
        if (command <= 2) {
            return " that session " + command + " acquires";
        }
        return " that session " + (2 - command % 2) + " releases token " + (command - 1) / 2;
    }

    @Override
    public void transitions(byte[] state, Transitions transitions) {
        for (int voter = 0; voter < VOTERS; voter++) {
            int offset = HEADER_BYTES + voter * voterBytes;
            if (state[offset + ROLE] != LEARNER
                    && state[offset + ROLE] != LEADER
                    && state[offset + TERM] < bounds.terms) {
                byte[] next = state.clone();
                next[offset + TERM]++;
                next[offset + VOTED_FOR] = (byte) (voter + 1);
                next[offset + ROLE] = CANDIDATE;
                next[offset + VOTES] = (byte) (1 << voter);
                transitions.to(action(BECOME_CANDIDATE, voter, 0), next);
            }
            if (state[offset + ROLE] == LEADER) {
                leaderTransitions(voter, offset, state, transitions);
            }
            for (int other = 0; other < VOTERS; other++) {
                if (other != voter
                        && state[HEADER_BYTES + other * voterBytes + ROLE] == CANDIDATE) {
                    voteTransition(voter, offset, other, state, transitions);
                }
            }
            faultTransitions(voter, offset, state, transitions);
        }
    }

    private void voteTransition(
            int voter, int offset, int candidate, byte[] state, Transitions transitions) {
        int candidateOffset = HEADER_BYTES + candidate * voterBytes;
        boolean canVote =
                state[offset + TERM] < state[candidateOffset + TERM]
                        || state[offset + TERM] == state[candidateOffset + TERM]
                                && state[offset + VOTED_FOR] == 0;
        if (state[offset + ROLE] == LEARNER
                || !canVote
                || lastTerm(state, offset) > lastTerm(state, candidateOffset)
                || lastTerm(state, offset) == lastTerm(state, candidateOffset)
                        && state[offset + LENGTH] > state[candidateOffset + LENGTH]) {
            return;
        }
        byte[] next = state.clone();
        becomeFollower(next, offset, state[candidateOffset + TERM]);
        next[offset + VOTED_FOR] = (byte) (candidate + 1);
        next[candidateOffset + VOTES] |= (byte) (1 << voter);
        next[candidateOffset + ROLE] = LEADER; // Including its own vote, it has two of three votes.
        next[candidateOffset + VOTES] = 0;
        next[candidateOffset + ACKNOWLEDGED] =
                next[candidateOffset + ACKNOWLEDGED + 1] =
                        next[candidateOffset + ACKNOWLEDGED + 2] = 0;
        transitions.to(action(VOTE, voter, candidate), next);
    }

    private int lastTerm(byte[] state, int offset) {
        return state[offset + LENGTH] == 0
                ? 0
                : state[offset + LOG + state[offset + LENGTH] - 1] >> 4;
    }

    private void becomeFollower(byte[] next, int offset, int term) {
        if (next[offset + TERM] < term) {
            next[offset + TERM] = (byte) term;
            next[offset + VOTED_FOR] = 0;
        }
        if (next[offset + ROLE] != LEARNER) {
            next[offset + ROLE] = FOLLOWER;
        }
        next[offset + VOTES] =
                next[offset + ACKNOWLEDGED] =
                        next[offset + ACKNOWLEDGED + 1] = next[offset + ACKNOWLEDGED + 2] = 0;
    }

    private void leaderTransitions(int voter, int offset, byte[] state, Transitions transitions) {
        if (state[offset + LENGTH] < bounds.entries) {
            for (int command = NO_COMMAND; command <= bounds.commands; command++) {
                byte[] next = state.clone();
                next[offset + LOG + next[offset + LENGTH]++] =
                        (byte) (state[offset + TERM] << 4 | command);
                transitions.to(action(APPEND, voter, command), next);
            }
        }
        int replicaCount = 1;
        for (int other = 0; other < VOTERS; other++) {
            int otherOffset = HEADER_BYTES + other * voterBytes;
            if (other == voter) {
                continue;
            }
            if (state[otherOffset + TERM] <= state[offset + TERM]) {
                byte[] next = state.clone();
                becomeFollower(next, otherOffset, state[offset + TERM]);
                System.arraycopy(
                        state, offset + LENGTH, next, otherOffset + LENGTH, voterBytes - LENGTH);
                next[offset + ACKNOWLEDGED + other] =
                        state[otherOffset + ROLE] == LEARNER
                                ? state[offset + ACKNOWLEDGED + other]
                                : state[offset + LENGTH];
                transitions.to(action(COPY_LOG, other, voter), next);
            }
            replicaCount += state[offset + ACKNOWLEDGED + other] == state[offset + LENGTH] ? 1 : 0;
        }
        if (replicaCount >= 2 && lastTerm(state, offset) == state[offset + TERM]) {
            commitTransition(voter, offset, state, transitions);
        }
    }

    private void commitTransition(int voter, int offset, byte[] state, Transitions transitions) {
        byte[] sessionsByToken = sessionsByToken(state, offset);
        byte[] next = state.clone();
        for (int i = 0; i < TOKENS; i++) {
            // A leader whose log is shorter than the longest majority log is outdated, so a missing
            // grant is not a loss.
            boolean isLost =
                    sessionsByToken[i] == 0 && state[offset + LENGTH] >= state[MAJORITY_LENGTH];
            if (state[GRANTED_SESSIONS + i] != 0
                    && sessionsByToken[i] != state[GRANTED_SESSIONS + i]
                    && (isLost || sessionsByToken[i] != 0)) {
                transitions.violation(
                        action(COMMIT, voter, 0),
                        "token "
                                + (i + 1)
                                + " was granted to session "
                                + state[GRANTED_SESSIONS + i]
                                + (sessionsByToken[i] == 0
                                        ? " and is lost"
                                        : " and is granted to session " + sessionsByToken[i]));
                return;
            }
            next[GRANTED_SESSIONS + i] =
                    (byte) Math.max(state[GRANTED_SESSIONS + i], sessionsByToken[i]);
        }
        next[MAJORITY_LENGTH] = (byte) Math.max(state[MAJORITY_LENGTH], state[offset + LENGTH]);
        transitions.to(action(COMMIT, voter, 0), next);
    }

    /**
     * For each token, the session to which the state machine grants it when it applies the voter's
     * log; 0 if none.
     */
    private byte[] sessionsByToken(byte[] state, int offset) {
        StringBuilder key = new StringBuilder();
        for (int i = 0; i < state[offset + LENGTH]; i++) {
            key.append((char) (state[offset + LOG + i] & 15));
        }
        return grantedSessions.computeIfAbsent(
                key.toString(),
                commands -> {
                    LeaseStateMachine machine = components.createMachine(null);
                    byte[] sessionsByToken = new byte[TOKENS];
                    for (int i = 0; i < commands.length(); i++) {
                        int command = commands.charAt(i);
                        if (command != NO_COMMAND) {
                            LeaseCommand leaseCommand =
                                    command <= 2
                                            ? new LeaseCommand.Acquire("task", 2_000_000_000L, true)
                                            : new LeaseCommand.Release("task", (command - 1) / 2);
                            CommandEffects effects =
                                    machine.apply(
                                            i + 1,
                                            new Command(
                                                    2 - command % 2, i, 0, leaseCommand.encode()));
                            for (CommandEffects.Event event : effects.events()) {
                                if (LeaseEvent.decode(event) instanceof LeaseEvent.Granted granted
                                        && granted.token() <= TOKENS) {
                                    sessionsByToken[(int) granted.token() - 1] =
                                            (byte) granted.session();
                                }
                            }
                        }
                    }
                    return sessionsByToken;
                });
    }

    private void faultTransitions(int voter, int offset, byte[] state, Transitions transitions) {
        if (state[offset + ROLE] != FOLLOWER && state[offset + ROLE] != LEARNER) {
            byte[] next = state.clone();
            becomeFollower(next, offset, state[offset + TERM]);
            transitions.to(action(RESTART, voter, 0), next);
        }
        boolean hasLearner = false;
        for (int other = 0; other < VOTERS; other++) {
            hasLearner |= state[HEADER_BYTES + other * voterBytes + ROLE] == LEARNER;
        }
        if (state[STATE_LOSSES_LEFT] > 0 && !hasLearner) {
            byte[] next = state.clone();
            next[STATE_LOSSES_LEFT]--;
            for (int i = 0; i < voterBytes; i++) {
                next[offset + i] = 0;
            }
            next[offset + ROLE] =
                    (byte) (components.isRemoved(Mutant.VOTE_AFTER_AMNESIA) ? FOLLOWER : LEARNER);
            transitions.to(action(LOSE_STATE, voter, 0), next);
        }
        if (state[offset + ROLE] == LEARNER) {
            for (int leader = 0; leader < VOTERS; leader++) {
                if (mayBecomeVoter(state, leader)) {
                    byte[] next = state.clone();
                    next[offset + ROLE] = FOLLOWER;
                    next[HEADER_BYTES + leader * voterBytes + ACKNOWLEDGED + voter] =
                            state[offset + LENGTH];
                    transitions.to(action(BECOME_VOTER, voter, leader), next);
                }
            }
        }
    }

    /**
     * Whether all voters have the leader's term and log, and the log's last entry is of that term.
     */
    private boolean mayBecomeVoter(byte[] state, int leader) {
        int leaderOffset = HEADER_BYTES + leader * voterBytes;
        if (state[leaderOffset + ROLE] != LEADER
                || lastTerm(state, leaderOffset) != state[leaderOffset + TERM]) {
            return false;
        }
        for (int voter = 0; voter < VOTERS; voter++) {
            int offset = HEADER_BYTES + voter * voterBytes;
            if (state[offset + TERM] != state[leaderOffset + TERM]) {
                return false;
            }
            for (int i = LENGTH; i < voterBytes; i++) {
                if (state[offset + i] != state[leaderOffset + i]) {
                    return false;
                }
            }
        }
        return true;
    }

    private static int action(int kind, int voter, int argument) {
        return kind << 6 | voter << 4 | argument;
    }
}
