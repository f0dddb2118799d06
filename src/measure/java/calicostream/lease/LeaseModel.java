// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static calicostream.lease.LeaseModelState.ACTS_LEFT;
import static calicostream.lease.LeaseModelState.APPLIED;
import static calicostream.lease.LeaseModelState.ASKS;
import static calicostream.lease.LeaseModelState.CHANGES_LEFT;
import static calicostream.lease.LeaseModelState.CHECKED;
import static calicostream.lease.LeaseModelState.CLOCKS;
import static calicostream.lease.LeaseModelState.COPIES;
import static calicostream.lease.LeaseModelState.COPIES_LEFT;
import static calicostream.lease.LeaseModelState.COPY;
import static calicostream.lease.LeaseModelState.EACH;
import static calicostream.lease.LeaseModelState.ENDED;
import static calicostream.lease.LeaseModelState.ENDS_LEFT;
import static calicostream.lease.LeaseModelState.EXPIRE_RENEWALS;
import static calicostream.lease.LeaseModelState.EXPIRE_TOKEN;
import static calicostream.lease.LeaseModelState.FENCE;
import static calicostream.lease.LeaseModelState.GIVEN;
import static calicostream.lease.LeaseModelState.LEADER;
import static calicostream.lease.LeaseModelState.LOG_ACTS;
import static calicostream.lease.LeaseModelState.LOG_ACTS_LEFT;
import static calicostream.lease.LeaseModelState.LOG_TOKEN;
import static calicostream.lease.LeaseModelState.NEWS;
import static calicostream.lease.LeaseModelState.NOW;
import static calicostream.lease.LeaseModelState.ONCE;
import static calicostream.lease.LeaseModelState.OUT;
import static calicostream.lease.LeaseModelState.PHASE;
import static calicostream.lease.LeaseModelState.REPLY;
import static calicostream.lease.LeaseModelState.SEEN_AGO;
import static calicostream.lease.LeaseModelState.SEEN_RENEWALS;
import static calicostream.lease.LeaseModelState.SEEN_TOKEN;
import static calicostream.lease.LeaseModelState.STOPS_LEFT;
import static calicostream.lease.LeaseModelState.TO;
import static calicostream.lease.LeaseModelState.TOKEN;
import static calicostream.lease.LeaseModelState.WANTED;
import static calicostream.lease.LeaseModelState.holder;
import static calicostream.lease.LeaseModelState.keep;
import static calicostream.lease.LeaseModelState.machine;
import static calicostream.lease.LeaseModelState.pass;
import static calicostream.lease.LeaseModelState.place;

import calicostream.prove.Model;
import calicostream.prove.Mutant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Members that want one lease, a log that two leaders take turns at, and a resource, with every
 * order of what is under way: commands, answers and news are late, doubled or repeated, and lost if
 * they never arrive or a later one takes their place; a member stops between its check and its act,
 * clocks run slow or fast, leaders change, sessions end. {@link LeaseStateMachine}, {@link
 * LeaseHolder}, {@link LeaseExpiryMonitor} and {@link FencingTokenGuard} are the product's own.
 *
 * <p>Promises: the resource and the log take no act out of the order of tokens and none twice;
 * tokens grow; no two members that ask their own clocks are told that they hold, as long as clocks
 * keep to their bound.
 */
public final class LeaseModel implements Model {
    private static final ClockDriftBound DRIFT = new ClockDriftBound(250_000);
    private static final String WORDS =
            "tick|asks|repeats its command|'s command is applied|'s command is doubled|hears the"
                + " answer|hears that it was granted|checks its lease and begins an act|'s act"
                + " reaches the resource|sends an act by the log|stops|stops and hands over|wants"
                + " again|the leader looks at its clock|the leader's end of the lease is"
                + " applied|the leader's end of the lease is lost|the leader changes|'s session"
                + " ends|hears that its session is over";
    private static final int TICK = 0;
    private static final int ASK = 1;
    private static final int REPEAT = 2;
    private static final int APPLY = 3;
    private static final int DOUBLE = 4;
    private static final int HEAR = 5;
    private static final int HEAR_NEWS = 6;
    private static final int CHECK = 7;
    private static final int ACT = 8;
    private static final int LOG_ACT = 9;
    private static final int STOP = 10;
    private static final int HAND_OVER = 11;
    private static final int WANT = 12;
    private static final int LOOK = 13;
    private static final int EXPIRE = 14;
    private static final int LOSE_EXPIRE = 15;
    private static final int CHANGE = 16;
    private static final int END = 17;
    private static final int HEAR_END = 18;

    private final LeaseModelBounds scope;
    private final LeaseComponents parts;
    private final LeaseTransitions log;
    private byte[] from;
    private Steps steps;

    /**
     * @param without the safeguard taken out; null: none
     */
    public LeaseModel(LeaseModelBounds scope, Mutant without) {
        this.scope = scope;
        parts = new LeaseComponents(without, new LeaseLimits(1, 100, 4, 8), DRIFT);
        log = new LeaseTransitions(parts, scope.ttl());
    }

    @Override
    public String name() {
        return "lease " + scope.name();
    }

    @Override
    public List<byte[]> initial() {
        List<byte[]> all = new ArrayList<>();
        for (int i = 0; i < scope.clocks().size(); i++) {
            byte[] s = new byte[ONCE + scope.members() * EACH];
            s[CLOCKS] = (byte) i;
            s[CHANGES_LEFT] = (byte) scope.changes();
            s[COPIES_LEFT] = (byte) scope.copies();
            s[ENDS_LEFT] = (byte) scope.ends();
            for (int m = 0; m < scope.members(); m++) {
                int at = place(m);
                s[at + WANTED] = 1;
                s[at + TO] = -1;
                s[at + ACTS_LEFT] = (byte) scope.acts();
                s[at + LOG_ACTS_LEFT] = (byte) scope.logActs();
                s[at + STOPS_LEFT] = (byte) scope.stops();
            }
            all.add(s);
        }
        return all;
    }

    @Override
    public String describe(int action) {
        String words = WORDS.split("\\|")[action >> 6];
        return action >> 6 == TICK || action >> 6 >= LOOK && action >> 6 <= CHANGE
                ? words
                : "member " + (1 + (action >> 2 & 15)) + (words.startsWith("'") ? "" : " ") + words;
    }

    // ---- Steps
    // ----------------------------------------------------------------------------------------
    @Override
    public void steps(byte[] state, Steps to) {
        from = state;
        steps = to;
        tick();
        leader();
        for (int m = 0; m < scope.members(); m++) {
            member(m, state, place(m));
        }
    }

    private void tick() {
        byte[] s = from.clone();
        String clocks = scope.clocks().get(s[CLOCKS]);
        for (int m = 0; m < scope.members(); m++) {
            pass(s, place(m), units(clocks.charAt(m + 1)), scope.ttl());
        }
        if (s[SEEN_TOKEN] != 0) {
            s[SEEN_AGO] =
                    (byte)
                            Math.min(
                                    parts.drift().longestSpan(scope.ttl()),
                                    s[SEEN_AGO] + units(clocks.charAt(0)));
        }
        to(TICK, 0, 0, s);
    }

    private static int units(char clock) {
        return clock == 's' ? 3 : clock == 'f' ? 5 : clock == 'e' ? 4 : 0;
    }

    private void leader() {
        byte[] s = from.clone();
        LeaseExpiryMonitor watch = watch(s);
        List<byte[]> due = watch.expiredCommands(NOW);
        keepWatch(s, watch);
        if (!due.isEmpty() && s[EXPIRE_TOKEN] == 0) {
            LeaseCommand.Expire expire = (LeaseCommand.Expire) LeaseCommand.decode(due.get(0));
            s[EXPIRE_TOKEN] = (byte) expire.token();
            s[EXPIRE_RENEWALS] = (byte) expire.renewals();
        }
        to(LOOK, 0, 0, s);
        if (from[EXPIRE_TOKEN] != 0) {
            s = from.clone();
            s[EXPIRE_TOKEN] = 0;
            s[EXPIRE_RENEWALS] = 0;
            to(LOSE_EXPIRE, 0, 0, s);
            s = s.clone();
            if (apply(
                    EXPIRE,
                    0,
                    0,
                    s,
                    log.step(
                            machine(s),
                            0,
                            LeaseTransitions.EXPIRE,
                            from[EXPIRE_TOKEN],
                            from[EXPIRE_RENEWALS]))) {
                to(EXPIRE, 0, 0, s);
            }
        }
        if (from[CHANGES_LEFT] > 0) {
            s = from.clone();
            s[CHANGES_LEFT]--;
            s[LEADER] ^= 1;
            watch = watch(s);
            watch.epochStarted(1, NOW);
            keepWatch(s, watch);
            to(CHANGE, 0, 0, s);
        }
    }

    private LeaseExpiryMonitor watch(byte[] s) {
        return parts.watch(
                log.machine(machine(s)),
                s[SEEN_TOKEN] == 0
                        ? Map.of()
                        : Map.of(
                                LeaseTransitions.NAME,
                                new LeaseExpiryMonitor.ObservedGrant(
                                        s[SEEN_TOKEN], s[SEEN_RENEWALS], NOW - s[SEEN_AGO])),
                0);
    }

    private void keepWatch(byte[] s, LeaseExpiryMonitor watch) {
        LeaseExpiryMonitor.ObservedGrant seen = watch.observedGrants().get(LeaseTransitions.NAME);
        s[SEEN_TOKEN] = seen == null ? 0 : (byte) seen.token();
        s[SEEN_RENEWALS] = seen == null ? 0 : (byte) seen.renewals();
        s[SEEN_AGO] =
                seen == null
                        ? 0
                        : (byte)
                                Math.min(
                                        parts.drift().longestSpan(scope.ttl()), NOW - seen.since());
    }

    private void member(int m, byte[] s, int at) {
        commands(m, s, at);
        if (s[at + REPLY] != 0) {
            byte[] n = s.clone();
            n[at + REPLY] = 0;
            n[at + REPLY + 1] = 0;
            if (s[at + OUT] == LeaseTransitions.ACT) {
                n[at + OUT] = 0;
                n[at + OUT + 1] = 0;
            } else if (s[at + OUT] != 0) {
                LeaseHolder holder = holder(n, m);
                LeaseTransitions.tell(holder, s[at + REPLY], s[at + REPLY + 1]);
                keep(n, m, holder, scope.ttl());
            }
            to(HEAR, m, 0, n);
        }
        if (s[at + NEWS] != 0) {
            byte[] n = s.clone();
            n[at + NEWS] = 0;
            LeaseHolder holder = holder(n, m);
            holder.onGranted(NOW, s[at + NEWS]);
            keep(n, m, holder, scope.ttl());
            to(HEAR_NEWS, m, 0, n);
        }
        acts(m, s, at);
        wishes(m, s, at);
        if (s[at + ENDED] == 0 && s[ENDS_LEFT] > 0) {
            byte[] n = s.clone();
            n[ENDS_LEFT]--;
            n[at + ENDED] = 1;
            if (apply(
                    END,
                    m,
                    0,
                    n,
                    log.step(
                            machine(n),
                            m + 1,
                            LeaseTransitions.END_OF_SESSION,
                            (byte) 0,
                            (byte) 0))) {
                to(END, m, 0, n);
            }
        } else if (s[at + ENDED] == 1) {
            byte[] n = s.clone();
            LeaseHolder holder = holder(n, m);
            holder.onSessionEnded(NOW);
            holder.release();
            keep(n, m, holder, scope.ttl());
            n[at + ENDED] = 2;
            n[at + OUT] = 0;
            n[at + OUT + 1] = 0;
            to(HEAR_END, m, 0, n);
        }
    }

    private LeaseHolder holder(byte[] s, int m) {
        return LeaseModelState.holder(s, m, parts, LeaseTransitions.NAME, scope.ttl());
    }

    private void commands(int m, byte[] s, int at) {
        if (s[at + OUT] == 0 && s[at + ENDED] < 2) {
            byte[] n = s.clone();
            LeaseHolder holder = holder(n, m);
            LeaseHolder.Request ask = holder.nextRequest(NOW);
            keep(n, m, holder, scope.ttl());
            if (ask != null) {
                send(
                        n,
                        at,
                        LeaseTransitions.kind(ask.command()),
                        LeaseTransitions.token(ask.command()));
                to(ASK, m, 0, n);
            }
        }
        boolean copied = false;
        int free = -1;
        for (int i = 0; i < COPIES; i++) {
            int copy = at + ASKS + i * COPY;
            copied |= s[copy] != 0 && s[copy + 2] == 0;
            free = s[copy] == 0 ? i : free;
        }
        for (int i = 0; i < COPIES; i++) {
            int copy = at + ASKS + i * COPY;
            if (s[copy] != 0) {
                byte[] n = s.clone();
                n[copy] = n[copy + 1] = n[copy + 2] = 0;
                deliver(m, at, i, n, s[copy], s[copy + 1], s[copy + 2] != 0);
                if (free >= 0 && s[COPIES_LEFT] > 0) {
                    n = s.clone();
                    n[COPIES_LEFT]--;
                    System.arraycopy(s, copy, n, at + ASKS + free * COPY, COPY);
                    to(DOUBLE, m, i, n);
                }
            }
        }
        if (s[at + OUT] != 0 && !copied && free >= 0) {
            byte[] n = s.clone();
            n[at + ASKS + free * COPY] = s[at + OUT];
            n[at + ASKS + free * COPY + 1] = s[at + OUT + 1];
            to(REPEAT, m, 0, n);
        }
    }

    /**
     * A new command under a new number: copies of earlier ones are refused by the session, and only
     * matter if it does not count.
     */
    private void send(byte[] n, int at, byte kind, byte token) {
        boolean kept = false;
        for (int copy = at + ASKS; copy < at + ASKS + COPIES * COPY; copy += COPY) {
            if (n[copy] != 0 && parts.isOut(Mutant.SESSION_RETRIED_WITHOUT_NUMBER) && !kept) {
                n[copy + 2] = 1;
                kept = true;
            } else {
                n[copy] = n[copy + 1] = n[copy + 2] = 0;
            }
        }
        n[at + APPLIED] = n[at + APPLIED + 1] = n[at + APPLIED + 2] = 0;
        n[at + REPLY] = n[at + REPLY + 1] = 0;
        n[at + OUT] = kind;
        n[at + OUT + 1] = token;
        int copy = at + ASKS + (n[at + ASKS] == 0 ? 0 : COPY);
        n[copy] = kind;
        n[copy + 1] = token;
    }

    private void deliver(int m, int at, int i, byte[] n, byte kind, byte token, boolean old) {
        if (n[at + ENDED] != 0) {
            return; // As if lost: that its session is over it hears apart.
        }
        if (n[at + APPLIED] != 0 && !parts.isOut(Mutant.SESSION_RETRIED_WITHOUT_NUMBER)) {
            n[at + REPLY] = n[at + APPLIED + 1];
            n[at + REPLY + 1] = n[at + APPLIED + 2];
            to(APPLY, m, i, n);
            return;
        }
        if (kind == LeaseTransitions.ACQUIRE
                        && log.machine(machine(n)).lastToken() >= scope.tokens()
                || kind == LeaseTransitions.RENEW && log.renewals(machine(n)) >= scope.renewals()) {
            return; // The bound of the model.
        }
        byte act = (byte) (kind == LeaseTransitions.ACT ? 1 << m * 2 + n[at + LOG_ACTS_LEFT] : 0);
        LeaseTransitions.Step step = log.step(machine(n), m + 1, kind, token, act);
        if (!apply(APPLY, m, i, n, step)) {
            return;
        }
        if (step.acted() != 0) {
            if ((n[LOG_ACTS] & act) != 0) {
                steps.broken(
                        action(APPLY, m, i),
                        "an act of member " + (m + 1) + " is done twice by the log");
                return;
            }
            if (token < n[LOG_TOKEN]) {
                steps.broken(
                        action(APPLY, m, i),
                        "the log takes an act under token "
                                + token
                                + " after one under "
                                + n[LOG_TOKEN]);
                return;
            }
            n[LOG_ACTS] |= act;
            n[LOG_TOKEN] = token;
        }
        if (!old) {
            n[at + APPLIED] = 1;
            n[at + APPLIED + 1] = n[at + REPLY] = step.answer();
            n[at + APPLIED + 2] = n[at + REPLY + 1] = step.answerToken();
        }
        to(APPLY, m, i, n);
    }

    private boolean apply(int kind, int m, int i, byte[] n, LeaseTransitions.Step step) {
        machine(n, step.next());
        if (step.granted() != 0) {
            if (step.granted() <= n[GIVEN]) {
                steps.broken(
                        action(kind, m, i),
                        "token " + step.granted() + " is given after token " + n[GIVEN]);
                return false;
            }
            n[GIVEN] = step.granted();
            n[place(step.to() - 1) + NEWS] = step.granted();
        }
        return true;
    }

    private void acts(int m, byte[] s, int at) {
        if (s[at + CHECKED] != 0) {
            byte[] n = s.clone();
            n[at + CHECKED] = 0;
            FencingTokenGuard fence = parts.fence(LeaseTransitions.NAME, s[FENCE]);
            if (fence.admit(LeaseTransitions.NAME, s[at + CHECKED]).isEmpty()
                    && s[at + CHECKED] < s[FENCE]) {
                steps.broken(
                        action(ACT, m, 0),
                        "the resource takes an act under token "
                                + s[at + CHECKED]
                                + " after one under "
                                + s[FENCE]);
            }
            n[FENCE] = (byte) fence.highestToken(LeaseTransitions.NAME);
            to(ACT, m, 0, n);
        }
        if (holder(s, m).mayAct(NOW)) {
            if (s[at + CHECKED] == 0 && s[at + ACTS_LEFT] > 0) {
                byte[] n = s.clone();
                n[at + ACTS_LEFT]--;
                n[at + CHECKED] = s[at + TOKEN];
                to(CHECK, m, 0, n);
            }
            if (s[at + OUT] == 0 && s[at + LOG_ACTS_LEFT] > 0) {
                byte[] n = s.clone();
                n[at + LOG_ACTS_LEFT]--;
                send(n, at, LeaseTransitions.ACT, s[at + TOKEN]);
                to(LOG_ACT, m, 0, n);
            }
        }
    }

    private void wishes(int m, byte[] s, int at) {
        if (s[at + WANTED] != 0
                && s[at + STOPS_LEFT] > 0
                && s[at + PHASE] >= LeaseHolder.Phase.WAITING.ordinal()) {
            for (int kind : new int[] {STOP, HAND_OVER}) {
                byte[] n = s.clone();
                n[at + STOPS_LEFT]--;
                LeaseHolder holder = holder(n, m);
                if (kind == STOP) {
                    holder.release();
                } else {
                    holder.transfer(0);
                }
                keep(n, m, holder, scope.ttl());
                to(kind, m, 0, n);
            }
        } else if (s[at + WANTED] == 0 && s[at + ENDED] == 0) {
            byte[] n = s.clone();
            n[at + WANTED] = 1;
            to(WANT, m, 0, n);
        }
    }

    // ---- Judgement
    // ------------------------------------------------------------------------------------
    private static int action(int kind, int m, int i) {
        return kind << 6 | m << 2 | i;
    }

    private void to(int kind, int m, int i, byte[] s) {
        steps.to(action(kind, m, i), s);
        int holding = 0;
        for (int each = 0; each < scope.members(); each++) {
            if (s[place(each) + PHASE] == LeaseHolder.Phase.HELD.ordinal()
                    && holder(s, each).mayAct(NOW)) {
                holding++;
            }
        }
        if (holding > 1 && scope.clocksKeepTheirBound()) {
            steps.broken(
                    action(kind, m, i),
                    holding + " members are told by their clocks that they hold");
        }
    }
}
