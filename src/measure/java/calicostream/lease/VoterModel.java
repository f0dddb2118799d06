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
 * Three voters and their logs, as far as amnesia needs them: a vote and a copy of the log are one
 * step each, any voter stands at any time, leaders that are out of date go on until they hear
 * better, and a voter forgets everything. What a majority holds is applied by the product's {@link
 * LeaseMachine}. With the safeguard, one who forgot is a learner until a leader has every other
 * voter's word at its own term, as a change of voters would need.
 *
 * <p>Promise: no token is given to two sessions, and none is lost. Assumed: no second voter forgets
 * before the first is back.
 */
public final class VoterModel implements Model {
    /**
     * Bounds: terms, entries of a log, voters that forget, and how many of the commands there are,
     * 1 to 6.
     */
    public record Bounds(int terms, int entries, int amnesias, int commands) {}

    // A state: what the judge knows, how many may forget yet, then each voter.
    private static final int GRANTED_SESSIONS = 0; // Session that token 1, 2, 3 were given to.
    private static final int TOKENS = 3;
    private static final int AMNESIA_LEFT = 3;
    private static final int MAJORITY_LENGTH =
            4; // The longest log that a majority was known to hold.
    private static final int HEADER_BYTES = 5;
    private static final int VOTERS = 3;
    private static final int TERM = 0;
    private static final int VOTED_FOR = 1; // 0 nobody
    private static final int ROLE = 2; // 0 follows, 1 stands, 2 leads, 3 learns
    private static final int VOTES = 3; // Bits, while it stands.
    private static final int ACKNOWLEDGED = 4; // By each voter, while it leads.
    private static final int LENGTH = 7;
    private static final int LOG = 8; // term << 4 | command

    private static final int FOLLOWER = 0;
    private static final int CANDIDATE = 1;
    private static final int LEADER = 2;
    private static final int LEARNER = 3;

    private static final int NO_COMMAND =
            0; // Commands: 1, 2 sessions acquire, 3, 4 they release token 1, 5, 6 token 2
    private static final String[] WORDS = {
        " stands for leader",
        " gives its vote to voter ",
        " leads and logs",
        " is sent the log of voter ",
        " learns that a majority holds its log",
        " loses its memory",
        " is let vote again by voter ",
        " starts again"
    };

    private final Bounds bounds;
    private final LeaseComponents components;
    private final int voterBytes;
    private final Map<String, byte[]> grantedSessions = new HashMap<>();

    public VoterModel(Bounds scope, Mutant without) {
        this.bounds = scope;
        components = new LeaseComponents(without, LeaseLimits.STANDARD, ClockDriftBound.STANDARD);
        voterBytes = LOG + scope.entries;
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
        int v = 1 + (action >> 4 & 3);
        int more = action & 15;
        String command =
                more == NO_COMMAND
                        ? " nothing"
                        : more <= 2
                                ? " that session " + more + " acquires"
                                : " that session "
                                        + (2 - more % 2)
                                        + " releases token "
                                        + (more - 1) / 2;
        return "voter "
                + v
                + WORDS[kind]
                + (kind == 1 || kind == 3 || kind == 6 ? more + 1 : kind == 2 ? command : "");
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
                to.to(action(0, v, 0), n);
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
        n[of + ROLE] = LEADER; // With its own, two of three.
        n[of + VOTES] = 0;
        n[of + ACKNOWLEDGED] = n[of + ACKNOWLEDGED + 1] = n[of + ACKNOWLEDGED + 2] = 0;
        to.to(action(1, v, other), n);
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
                to.to(action(2, v, command), n);
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
                to.to(action(3, other, v), n);
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
                        action(4, v, 0),
                        "token "
                                + (i + 1)
                                + " was given to session "
                                + s[GRANTED_SESSIONS + i]
                                + (tokens[i] == 0
                                        ? " and is forgotten"
                                        : " and is given to session " + tokens[i]));
                return;
            }
            n[GRANTED_SESSIONS + i] = (byte) Math.max(s[GRANTED_SESSIONS + i], tokens[i]);
        }
        n[MAJORITY_LENGTH] = (byte) Math.max(s[MAJORITY_LENGTH], s[at + LENGTH]);
        to.to(action(4, v, 0), n);
    }

    /** Whom the machine gives each token to when it applies that voter's log. */
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
            to.to(action(7, v, 0), n);
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
            to.to(action(5, v, 0), n);
        }
        if (s[at + ROLE] == LEARNER) {
            for (int leader = 0; leader < VOTERS; leader++) {
                if (mayBecomeVoter(s, leader)) {
                    byte[] n = s.clone();
                    n[at + ROLE] = FOLLOWER;
                    n[HEADER_BYTES + leader * voterBytes + ACKNOWLEDGED + v] = s[at + LENGTH];
                    to.to(action(6, v, leader), n);
                }
            }
        }
    }

    /** All have the leader's log, which ends in its own term, and its term. */
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
