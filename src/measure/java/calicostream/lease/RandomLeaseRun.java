// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.MemberMessage;
import calicostream.cluster.MemberSession;
import calicostream.cluster.ReplicatedState;
import calicostream.prove.Mutant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Members with their sessions, holders and acts, a {@link SimulatedLog} and a resource in virtual
 * time, from one seed. Links lose, double and delay; processes stop for up to three times to live
 * and go on, or start anew; clocks drift by 500 ppm; leaders change; quorums are lost. What is done
 * is judged where it is done.
 */
final class RandomLeaseRun {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TTL_NANOS = 1000 * NANOS_PER_MILLI;
    private static final long FAULTS_END_NANOS = 20_000 * NANOS_PER_MILLI;
    private static final long END_NANOS = 30_000 * NANOS_PER_MILLI;
    private static final String LEASE = "task";

    /**
     * {@code broken} is empty if all held; {@code handOvers} in times to live, from a holder's stop
     * to the next one's first act.
     */
    record Result(
            String violation, int faults, int actions, int tokens, List<Double> handoverTimes) {}

    private record Event(long at, long order, Process process, int incarnation, Runnable task)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** A process with its clock: stopped, it does nothing and its clock goes on. */
    final class Process {
        private long driftPpm;
        private long base = random.nextInt(1_000_000) * NANOS_PER_MILLI;
        private long since;
        private long pausedUntil;
        private int incarnation;

        long nanos() {
            return base + (now - since) + (now - since) * driftPpm / 1_000_000;
        }

        void drift(long to) {
            base = nanos();
            since = now;
            driftPpm = to;
        }

        void after(long delay, Runnable task) {
            events.add(new Event(now + Math.max(1, delay), order++, this, incarnation, task));
        }
    }

    private final class Member {
        final Process process = new Process();
        final int id;
        MemberSession session;
        LeaseClient client;
        LeaseHolder holder;
        FencedActions acts;

        Member(int id) {
            this.id = id;
            start();
        }

        void start() {
            process.incarnation++;
            session =
                    new MemberSession(
                            new MemberSession.Settings(id, sessionMillis, 150, 8),
                            List.of(1, 2, 3),
                            (long) id << 40 | (long) process.incarnation << 32);
            client = new LeaseClient(session, "lease", process::nanos);
            holder =
                    client.add(
                            components.createHolder(
                                    LEASE,
                                    TTL_NANOS,
                                    new LeaseHolder(LEASE, TTL_NANOS, process.nanos()).state()));
            acts = client.fencedActions(holder);
            holder.acquire();
            tick();
            act();
        }

        void tick() {
            client.tick();
            for (MemberSession.OutgoingFrame send : session.tick(process.nanos())) {
                int life = process.incarnation;
                sendOverLink(
                        id,
                        () ->
                                log.received(
                                        send.voter(),
                                        send.frame(),
                                        reply ->
                                                sendOverLink(
                                                        id,
                                                        () ->
                                                                process.after(
                                                                        1,
                                                                        () -> {
                                                                            if (process.incarnation
                                                                                    == life) {
                                                                                session.received(
                                                                                        send
                                                                                                .voter(),
                                                                                        (MemberMessage
                                                                                                        .Reply)
                                                                                                MemberMessage
                                                                                                        .decode(
                                                                                                                reply),
                                                                                        process
                                                                                                .nanos());
                                                                            }
                                                                        }))));
            }
            process.after(15 * NANOS_PER_MILLI, this::tick);
        }

        /**
         * Checks and acts; the act itself may leave much later, when the process goes on or the
         * link lets it.
         */
        void act() {
            if (random.nextInt(3) == 0) {
                byte[] number = new BinaryCodec.Writer().i64(++actionNumber).toByteArray();
                FencedResource.FencedResult<LeaseCommand.FencedAction> command =
                        acts.createLogCommand(number);
                if (command.isCompleted()) {
                    session.submit("lease", command.result().encode(), outcome -> {});
                }
            } else {
                acts.executeAt(
                        (lease, token, payload) -> {
                            sendOverLink(0, () -> executeAtResource(this, token));
                            return FencedResource.FencedResult.completed(null);
                        },
                        null);
            }
            process.after((10 + random.nextInt(50)) * NANOS_PER_MILLI, this::act);
        }
    }

    final Random random;
    private final LeaseComponents components;
    private final boolean killsOnly;
    private final int sessionMillis;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Process> voters = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final Set<Long> appliedActions = new HashSet<>();
    private final List<Double> handoverTimes = new ArrayList<>();
    private final SimulatedLog log;
    private final FencingTokenGuard tokenGuard;
    private long now;
    private long order;
    private long actionNumber;
    private long lastResourceToken;
    private long lastLogToken;
    private long lastGrantedToken;
    private int acceptedActions;
    private int faultCount;
    private double lossProbability;
    private int maxDelayMillis = 5;
    private int partitionedMember;
    private long holderLostAt = -1;
    private long lostToken;
    private String violation = "";

    private RandomLeaseRun(long seed, Mutant without, boolean killsAlone) {
        random = new Random(seed);
        this.killsOnly = killsAlone;
        sessionMillis = killsAlone ? 1500 : 400 + random.nextInt(1400);
        components = new LeaseComponents(without, LeaseLimits.STANDARD, ClockDriftBound.STANDARD);
        tokenGuard = components.createTokenGuard(LEASE, 0);
        IntStream.range(0, SimulatedLog.VOTERS).forEach(i -> voters.add(new Process()));
        log = new SimulatedLog(this, components, this::onStateChange);
        IntStream.rangeClosed(1, 4)
                .forEach(id -> members.add(new Member(id + SimulatedLog.VOTERS)));
    }

    /**
     * @param without the safeguard taken out; null: none
     */
    static Result run(long seed, Mutant without) {
        return new RandomLeaseRun(seed, without, false).run();
    }

    /** Holders are killed and nothing else goes wrong: what a hand-over takes. */
    static Result kills(long seed) {
        return new RandomLeaseRun(seed, null, true).run();
    }

    Process process(int voter) {
        return voters.get(voter - 1);
    }

    void after(long delay, Runnable task) {
        events.add(new Event(now + delay, order++, null, 0, task));
    }

    private Result run() {
        after(500 * NANOS_PER_MILLI, this::injectFault);
        long settled = 0;
        while (violation.isEmpty() && !events.isEmpty() && events.peek().at <= END_NANOS) {
            Event event = events.poll();
            Process process = event.process;
            if (process != null
                    && (process.incarnation != event.incarnation && process.incarnation > 0)) {
                continue;
            }
            if (process != null && process.pausedUntil > event.at) {
                events.add(
                        new Event(
                                process.pausedUntil,
                                event.order,
                                process,
                                event.incarnation,
                                event.task));
                continue;
            }
            now = event.at;
            event.task.run();
            checkSingleHolder();
            settled = now < END_NANOS - 3 * TTL_NANOS ? acceptedActions : settled;
        }
        if (violation.isEmpty() && acceptedActions == settled) {
            violation = "nobody acts three times to live after the last fault";
        }
        return new Result(
                violation.isEmpty() ? "" : "at " + now / NANOS_PER_MILLI + " ms: " + violation,
                faultCount,
                acceptedActions,
                (int) lastGrantedToken,
                handoverTimes);
    }

    // ---- Links and faults
    // -----------------------------------------------------------------------------
    private void sendOverLink(int member, Runnable arrives) {
        int copies =
                member != 0 && member == partitionedMember || random.nextDouble() < lossProbability
                        ? 0
                        : random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            after(
                    100_000
                            + random.nextInt(maxDelayMillis) * NANOS_PER_MILLI
                            + random.nextInt(1_000_000),
                    arrives);
        }
    }

    private void injectFault() {
        if (now > FAULTS_END_NANOS) {
            lossProbability = 0;
            maxDelayMillis = 5;
            partitionedMember = 0;
            log.quorum(true);
            return;
        }
        faultCount++;
        Member member = members.get(random.nextInt(members.size()));
        Member holding = members.stream().filter(each -> mayAct(each)).findFirst().orElse(member);
        Process voter = voters.get(random.nextInt(SimulatedLog.VOTERS));
        long lasts = random.nextInt(3000) * NANOS_PER_MILLI;
        switch (killsOnly ? 2 : random.nextInt(11)) {
            case 0 -> pause(holding, lasts);
            case 1 -> pause(member, lasts);
            case 2 -> {
                recordLoss(holding);
                holding.start();
            }
            case 3 -> {
                member.holder.release();
                after(lasts, member.holder::acquire);
            }
            case 4 -> {
                holding.holder.transfer(0);
                after(lasts, holding.holder::acquire);
            }
            case 5 -> log.changeLeader(1 + random.nextInt(SimulatedLog.VOTERS));
            case 6 -> {
                voter.pausedUntil = now + lasts;
                if (process(log.leader()) == voter) {
                    after(
                            300 * NANOS_PER_MILLI,
                            () -> log.changeLeader(1 + log.leader() % SimulatedLog.VOTERS));
                }
            }
            case 7 -> {
                partitionedMember = holding.id;
                recordLoss(holding);
                after(lasts, () -> partitionedMember = 0);
            }
            case 8 -> {
                lossProbability = random.nextDouble() / 2;
                maxDelayMillis = 1 + random.nextInt(600);
                after(
                        lasts,
                        () -> {
                            lossProbability = 0;
                            maxDelayMillis = 5;
                        });
            }
            case 9 -> {
                log.quorum(false);
                after(lasts / 2, () -> log.quorum(true));
            }
            default -> {
                members.forEach(each -> each.process.drift(random.nextInt(1001) - 500));
                voters.forEach(each -> each.drift(random.nextInt(1001) - 500));
            }
        }
        after(
                (killsOnly ? 2500 : 100) * NANOS_PER_MILLI + random.nextInt(1200) * NANOS_PER_MILLI,
                this::injectFault);
    }

    private void pause(Member member, long lasts) {
        member.process.pausedUntil = now + lasts;
        if (lasts > TTL_NANOS) {
            recordLoss(member);
        }
    }

    private void recordLoss(Member member) {
        if (mayAct(member) && holderLostAt < 0) {
            holderLostAt = now;
            lostToken = lastGrantedToken;
        }
    }

    // ---- Judgement
    // ------------------------------------------------------------------------------------
    private boolean mayAct(Member member) {
        return member.holder.phase() == LeaseHolder.Phase.HELD
                && new LeaseHolder(
                                LEASE, TTL_NANOS, ClockDriftBound.STANDARD, member.holder.state())
                        .mayAct(member.process.nanos()); // A copy: asking must not tell it.
    }

    private void checkSingleHolder() {
        Member holding = null;
        for (Member each : members) {
            if (mayAct(each)) {
                if (holding != null) {
                    violation =
                            "members "
                                    + holding.id
                                    + " and "
                                    + each.id
                                    + " are both told that they hold";
                }
                holding = each;
            }
        }
    }

    private void executeAtResource(Member by, long token) {
        if (tokenGuard.admit(LEASE, token).isPresent()) {
            return;
        }
        if (token < lastResourceToken) {
            violation =
                    "the resource takes an act of member "
                            + by.id
                            + " under token "
                            + token
                            + " after one under "
                            + lastResourceToken;
        }
        lastResourceToken = token;
        onAction(token);
    }

    private void onStateChange(ReplicatedState.StateChange news) {
        if (!news.machine().equals("lease")) {
            return;
        }
        LeaseEvent event = LeaseEvent.decode(news.event());
        if (event instanceof LeaseEvent.Granted granted) {
            if (granted.token() <= lastGrantedToken) {
                violation = "token " + granted.token() + " is given after " + lastGrantedToken;
            }
            lastGrantedToken = granted.token();
            members.forEach(
                    each ->
                            sendOverLink(
                                    each.id,
                                    () -> each.process.after(1, () -> each.client.onEvent(event))));
        } else if (event instanceof LeaseEvent.ActionPerformed act) {
            long number = new BinaryCodec.Reader("act", act.payload()).i64();
            if (!appliedActions.add(number)) {
                violation = "act " + number + " is done twice by the log";
            }
            if (act.token() < lastLogToken) {
                violation =
                        "the log takes an act under token "
                                + act.token()
                                + " after one under "
                                + lastLogToken;
            }
            lastLogToken = act.token();
            onAction(act.token());
        }
    }

    private void onAction(long token) {
        acceptedActions++;
        if (holderLostAt >= 0 && token > lostToken) {
            handoverTimes.add((double) (now - holderLostAt) / TTL_NANOS);
            holderLostAt = -1;
        }
    }
}
