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
 * The model of three voters and their logs, as far as the loss of a voter's state needs them: a
 * vote and a copy of the log are one transition each, any voter becomes a candidate at any time,
 * outdated leaders go on until they learn of a newer term, and a voter may lose all of its state.
 * What a majority has stored is applied by the product's {@link LeaseStateMachine}. With the
 * safeguard, a voter that lost its state is a learner until a leader has every other voter's log at
 * its own term, as a change of voters would need.
 *
 * <p>Invariant: no token is granted to two sessions, and no grant is lost. Assumption: no second
 * voter loses its state before the first may vote again.
 */
public final class VoterModel implements Model {
    /**
     * Bounds of the model.
     *
     * @param terms most terms
     * @param entries most entries of a log
     * @param amnesias how often a voter loses its state
     * @param commands how many of the six commands are proposed
     */
    public record Bounds(int terms, int entries, int amnesias, int commands) {}

    private static final int VOTERS = 3;
    private static final int TOKENS = 3;

    // Offsets in a state: what the invariant needs, then each voter.
    private static final int GRANTED_SESSIONS = 0; // to which session each token was granted
    private static final int AMNESIA_LEFT = 3;
    private static final int MAJORITY_LENGTH = 4; // longest log known to be stored by a majority
    private static final int HEADER_BYTES = 5;

    // Offsets in a voter.
    private static final int TERM = 0;
    private static final int VOTED_FOR = 1; // voter's number from 1 up; 0: nobody
    private static final int ROLE = 2;
    private static final int VOTES = 3; // of a candidate, as bits
    private static final int ACKNOWLEDGED = 4; // of a leader: length of each voter's log
    private static final int LENGTH = 7; // of the log
    private static final int LOG = 8; // entries: term << 4 | command

    private static final int FOLLOWER = 0;
    private static final int CANDIDATE = 1;
    private static final int LEADER = 2;
    private static final int LEARNER = 3;

    /** Commands 1 and 2: a session acquires; 3 to 6: a session releases token 1 or 2. */
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
     * @param removed the safeguard removed; null: none
     */
    public VoterModel(Bounds bounds, Mutant removed) {
        this.bounds = bounds;
        components = new LeaseComponents(removed, LeaseLimits.STANDARD, ClockDriftBound.STANDARD);
        voterBytes = LOG + bounds.entries;
    }

    @Override
    public String name() {
        return "voters that forget";
    }

    @Override
    public List<byte[]> initial() {
        byte[] s = new byte[HEADER_BYTES + VOTERS * voterBytes];
        s[AMNESIA_LEFT] = (byte) bounds.amnesias;
        return List.of(s);
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
    public void transitions(byte[] s, Transitions to) {
        for (int v = 0; v < VOTERS; v++) {
            int at = HEADER_BYTES + v * voterBytes;
            if (s[at + ROLE] != LEARNER && s[at + ROLE] != LEADER && s[at + TERM] < bounds.terms) {
                byte[] n = s.clone();
                n[at + TERM]++;
                n[at + VOTED_FOR] = (byte) (v + 1);
                n[at + ROLE] = CANDIDATE;
                n[at + VOTES] = (byte) (1 << v);
                to.to(action(BECOME_CANDIDATE, v, 0), n);
            }
            if (s[at + ROLE] == LEADER) {
                leaderTransitions(v, at, s, to);
            }
            for (int other = 0; other < VOTERS; other++) {
                if (other != v && s[HEADER_BYTES + other * voterBytes + ROLE] == CANDIDATE) {
                    voteTransition(v, at, other, s, to);
                }
            }
            faultTransitions(v, at, s, to);
        }
    }

    private void voteTransition(int v, int at, int other, byte[] s, Transitions to) {
        int of = HEADER_BYTES + other * voterBytes;
        boolean free =
                s[at + TERM] < s[of + TERM]
                        || s[at + TERM] == s[of + TERM] && s[at + VOTED_FOR] == 0;
        if (s[at + ROLE] == LEARNER
                || !free
                || lastTerm(s, at) > lastTerm(s, of)
                || lastTerm(s, at) == lastTerm(s, of) && s[at + LENGTH] > s[of + LENGTH]) {
            return;
        }
        byte[] n = s.clone();
        becomeFollower(n, at, s[of + TERM]);
        n[at + VOTED_FOR] = (byte) (other + 1);
        n[of + VOTES] |= (byte) (1 << v);
        n[of + ROLE] = LEADER; // With its own vote it has two of three.
        n[of + VOTES] = 0;
        n[of + ACKNOWLEDGED] = n[of + ACKNOWLEDGED + 1] = n[of + ACKNOWLEDGED + 2] = 0;
        to.to(action(VOTE, v, other), n);
    }

    private int lastTerm(byte[] s, int at) {
        return s[at + LENGTH] == 0 ? 0 : s[at + LOG + s[at + LENGTH] - 1] >> 4;
    }

    private void becomeFollower(byte[] n, int at, int term) {
        if (n[at + TERM] < term) {
            n[at + TERM] = (byte) term;
            n[at + VOTED_FOR] = 0;
        }
        if (n[at + ROLE] != LEARNER) {
            n[at + ROLE] = FOLLOWER;
        }
        n[at + VOTES] =
                n[at + ACKNOWLEDGED] = n[at + ACKNOWLEDGED + 1] = n[at + ACKNOWLEDGED + 2] = 0;
    }

    private void leaderTransitions(int v, int at, byte[] s, Transitions to) {
        if (s[at + LENGTH] < bounds.entries) {
            for (int command = NO_COMMAND; command <= bounds.commands; command++) {
                byte[] n = s.clone();
                n[at + LOG + n[at + LENGTH]++] = (byte) (s[at + TERM] << 4 | command);
                to.to(action(APPEND, v, command), n);
            }
        }
        int holders = 1;
        for (int other = 0; other < VOTERS; other++) {
            int of = HEADER_BYTES + other * voterBytes;
            if (other == v) {
                continue;
            }
            if (s[of + TERM] <= s[at + TERM]) {
                byte[] n = s.clone();
                becomeFollower(n, of, s[at + TERM]);
                System.arraycopy(s, at + LENGTH, n, of + LENGTH, voterBytes - LENGTH);
                n[at + ACKNOWLEDGED + other] =
                        s[of + ROLE] == LEARNER ? s[at + ACKNOWLEDGED + other] : s[at + LENGTH];
                to.to(action(COPY_LOG, other, v), n);
            }
            holders += s[at + ACKNOWLEDGED + other] == s[at + LENGTH] ? 1 : 0;
        }
        if (holders >= 2 && lastTerm(s, at) == s[at + TERM]) {
            commitTransition(v, at, s, to);
        }
    }

    private void commitTransition(int v, int at, byte[] s, Transitions to) {
        byte[] tokens = sessionsByToken(s, at);
        byte[] n = s.clone();
        for (int i = 0; i < TOKENS; i++) {
            // An outdated leader has fewer entries, which is no loss.
            boolean lost =
                    tokens[i] == 0
                            && s[at + LENGTH]
                                    >= s[MAJORITY_LENGTH]; // A leader out of date knows less,
            // and says
            // nothing wrong.
            if (s[GRANTED_SESSIONS + i] != 0
                    && tokens[i] != s[GRANTED_SESSIONS + i]
                    && (lost || tokens[i] != 0)) {
                to.violation(
                        action(COMMIT, v, 0),
                        "token "
                                + (i + 1)
                                + " was granted to session "
                                + s[GRANTED_SESSIONS + i]
                                + (tokens[i] == 0
                                        ? " and is lost"
                                        : " and is granted to session " + tokens[i]));
                return;
            }
            n[GRANTED_SESSIONS + i] = (byte) Math.max(s[GRANTED_SESSIONS + i], tokens[i]);
        }
        n[MAJORITY_LENGTH] = (byte) Math.max(s[MAJORITY_LENGTH], s[at + LENGTH]);
        to.to(action(COMMIT, v, 0), n);
    }

    /** To which session the state machine grants each token when it applies that voter's log. */
    private byte[] sessionsByToken(byte[] s, int at) {
        StringBuilder key = new StringBuilder();
        for (int i = 0; i < s[at + LENGTH]; i++) {
            key.append((char) (s[at + LOG + i] & 15));
        }
        return grantedSessions.computeIfAbsent(
                key.toString(),
                commands -> {
                    LeaseStateMachine machine = components.createMachine(null);
                    byte[] tokens = new byte[TOKENS];
                    for (int i = 0; i < commands.length(); i++) {
                        int command = commands.charAt(i);
                        if (command != NO_COMMAND) {
                            LeaseCommand said =
                                    command <= 2
                                            ? new LeaseCommand.Acquire("task", 2_000_000_000L, true)
                                            : new LeaseCommand.Release("task", (command - 1) / 2);
                            CommandEffects effects =
                                    machine.apply(
                                            i + 1,
                                            new Command(2 - command % 2, i, 0, said.encode()));
                            for (CommandEffects.Event event : effects.events()) {
                                if (LeaseEvent.decode(event) instanceof LeaseEvent.Granted g
                                        && g.token() <= TOKENS) {
                                    tokens[(int) g.token() - 1] = (byte) g.session();
                                }
                            }
                        }
                    }
                    return tokens;
                });
    }

    private void faultTransitions(int v, int at, byte[] s, Transitions to) {
        if (s[at + ROLE] != FOLLOWER && s[at + ROLE] != LEARNER) {
            byte[] n = s.clone();
            becomeFollower(n, at, s[at + TERM]);
            to.to(action(RESTART, v, 0), n);
        }
        boolean learner = false;
        for (int other = 0; other < VOTERS; other++) {
            learner |= s[HEADER_BYTES + other * voterBytes + ROLE] == LEARNER;
        }
        if (s[AMNESIA_LEFT] > 0 && !learner) {
            byte[] n = s.clone();
            n[AMNESIA_LEFT]--;
            for (int i = 0; i < voterBytes; i++) {
                n[at + i] = 0;
            }
            n[at + ROLE] =
                    (byte) (components.isRemoved(Mutant.VOTE_AFTER_AMNESIA) ? FOLLOWER : LEARNER);
            to.to(action(LOSE_STATE, v, 0), n);
        }
        if (s[at + ROLE] == LEARNER) {
            for (int leader = 0; leader < VOTERS; leader++) {
                if (mayBecomeVoter(s, leader)) {
                    byte[] n = s.clone();
                    n[at + ROLE] = FOLLOWER;
                    n[HEADER_BYTES + leader * voterBytes + ACKNOWLEDGED + v] = s[at + LENGTH];
                    to.to(action(BECOME_VOTER, v, leader), n);
                }
            }
        }
    }

    /** Whether all voters have the leader's term and its log, which ends in that term. */
    private boolean mayBecomeVoter(byte[] s, int leader) {
        int of = HEADER_BYTES + leader * voterBytes;
        if (s[of + ROLE] != LEADER || lastTerm(s, of) != s[of + TERM]) {
            return false;
        }
        for (int v = 0; v < VOTERS; v++) {
            int at = HEADER_BYTES + v * voterBytes;
            if (s[at + TERM] != s[of + TERM]) {
                return false;
            }
            for (int i = LENGTH; i < voterBytes; i++) {
                if (s[at + i] != s[of + i]) {
                    return false;
                }
            }
        }
        return true;
    }

    private static int action(int kind, int v, int more) {
        return kind << 6 | v << 4 | more;
    }
}
