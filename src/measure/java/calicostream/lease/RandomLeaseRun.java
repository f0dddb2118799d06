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
    private static final long MS = 1_000_000;
    private static final long TTL = 1000 * MS;
    private static final long FAULTS_END = 20_000 * MS;
    private static final long END = 30_000 * MS;
    private static final String TASK = "task";

    /**
     * {@code broken} is empty if all held; {@code handOvers} in times to live, from a holder's stop
     * to the next one's first act.
     */
    record Result(String broken, int faults, int acts, int tokens, List<Double> handOvers) {}

    private record Event(long at, long order, Process process, int life, Runnable task)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** A process with its clock: stopped, it does nothing and its clock goes on. */
    final class Process {
        private long ppm;
        private long base = random.nextInt(1_000_000) * MS;
        private long since;
        private long stoppedUntil;
        private int life;

        long nanos() {
            return base + (now - since) + (now - since) * ppm / 1_000_000;
        }

        void drift(long to) {
            base = nanos();
            since = now;
            ppm = to;
        }

        void after(long delay, Runnable task) {
            events.add(new Event(now + Math.max(1, delay), order++, this, life, task));
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
            process.life++;
            session =
                    new MemberSession(
                            new MemberSession.Settings(id, sessionMillis, 150, 8),
                            List.of(1, 2, 3),
                            (long) id << 40 | (long) process.life << 32);
            client = new LeaseClient(session, "lease", process::nanos);
            holder =
                    client.add(
                            parts.holder(
                                    TASK,
                                    TTL,
                                    new LeaseHolder(TASK, TTL, process.nanos()).state()));
            acts = client.fencedActions(holder);
            holder.acquire();
            tick();
            act();
        }

        void tick() {
            client.tick();
            for (MemberSession.OutgoingFrame send : session.tick(process.nanos())) {
                int life = process.life;
                link(
                        id,
                        () ->
                                log.received(
                                        send.voter(),
                                        send.frame(),
                                        reply ->
                                                link(
                                                        id,
                                                        () ->
                                                                process.after(
                                                                        1,
                                                                        () -> {
                                                                            if (process.life
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
            process.after(15 * MS, this::tick);
        }

        /**
         * Checks and acts; the act itself may leave much later, when the process goes on or the
         * link lets it.
         */
        void act() {
            if (random.nextInt(3) == 0) {
                byte[] number = new BinaryCodec.Writer().i64(++acted).toByteArray();
                FencedResource.FencedResult<LeaseCommand.FencedAction> command =
                        acts.createLogCommand(number);
                if (command.isCompleted()) {
                    session.submit("lease", command.result().encode(), outcome -> {});
                }
            } else {
                acts.executeAt(
                        (lease, token, payload) -> {
                            link(0, () -> resource(this, token));
                            return FencedResource.FencedResult.completed(null);
                        },
                        null);
            }
            process.after((10 + random.nextInt(50)) * MS, this::act);
        }
    }

    final Random random;
    private final LeaseComponents parts;
    private final boolean killsAlone;
    private final int sessionMillis;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Process> voters = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final Set<Long> done = new HashSet<>();
    private final List<Double> handOvers = new ArrayList<>();
    private final SimulatedLog log;
    private final FencingTokenGuard fence;
    private long now;
    private long order;
    private long acted;
    private long atResource;
    private long inLog;
    private long given;
    private int accepted;
    private int faults;
    private double loss;
    private int slowest = 5;
    private int cut;
    private long lostAt = -1;
    private long lostToken;
    private String broken = "";

    private RandomLeaseRun(long seed, Mutant without, boolean killsAlone) {
        random = new Random(seed);
        this.killsAlone = killsAlone;
        sessionMillis = killsAlone ? 1500 : 400 + random.nextInt(1400);
        parts = new LeaseComponents(without, LeaseLimits.STANDARD, ClockDriftBound.STANDARD);
        fence = parts.fence(TASK, 0);
        IntStream.range(0, SimulatedLog.VOTERS).forEach(i -> voters.add(new Process()));
        log = new SimulatedLog(this, parts, this::news);
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
        after(500 * MS, this::fault);
        long settled = 0;
        while (broken.isEmpty() && !events.isEmpty() && events.peek().at <= END) {
            Event event = events.poll();
            Process process = event.process;
            if (process != null && (process.life != event.life && process.life > 0)) {
                continue;
            }
            if (process != null && process.stoppedUntil > event.at) {
                events.add(
                        new Event(
                                process.stoppedUntil,
                                event.order,
                                process,
                                event.life,
                                event.task));
                continue;
            }
            now = event.at;
            event.task.run();
            judge();
            settled = now < END - 3 * TTL ? accepted : settled;
        }
        if (broken.isEmpty() && accepted == settled) {
            broken = "nobody acts three times to live after the last fault";
        }
        return new Result(
                broken.isEmpty() ? "" : "at " + now / MS + " ms: " + broken,
                faults,
                accepted,
                (int) given,
                handOvers);
    }

    // ---- Links and faults
    // -----------------------------------------------------------------------------
    private void link(int member, Runnable arrives) {
        int copies =
                member != 0 && member == cut || random.nextDouble() < loss
                        ? 0
                        : random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            after(100_000 + random.nextInt(slowest) * MS + random.nextInt(1_000_000), arrives);
        }
    }

    private void fault() {
        if (now > FAULTS_END) {
            loss = 0;
            slowest = 5;
            cut = 0;
            log.quorum(true);
            return;
        }
        faults++;
        Member member = members.get(random.nextInt(members.size()));
        Member holding = members.stream().filter(each -> mayAct(each)).findFirst().orElse(member);
        Process voter = voters.get(random.nextInt(SimulatedLog.VOTERS));
        long lasts = random.nextInt(3000) * MS;
        switch (killsAlone ? 2 : random.nextInt(11)) {
            case 0 -> stop(holding, lasts);
            case 1 -> stop(member, lasts);
            case 2 -> {
                lose(holding);
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
            case 5 -> log.change(1 + random.nextInt(SimulatedLog.VOTERS));
            case 6 -> {
                voter.stoppedUntil = now + lasts;
                if (process(log.leader()) == voter) {
                    after(300 * MS, () -> log.change(1 + log.leader() % SimulatedLog.VOTERS));
                }
            }
            case 7 -> {
                cut = holding.id;
                lose(holding);
                after(lasts, () -> cut = 0);
            }
            case 8 -> {
                loss = random.nextDouble() / 2;
                slowest = 1 + random.nextInt(600);
                after(
                        lasts,
                        () -> {
                            loss = 0;
                            slowest = 5;
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
        after((killsAlone ? 2500 : 100) * MS + random.nextInt(1200) * MS, this::fault);
    }

    private void stop(Member member, long lasts) {
        member.process.stoppedUntil = now + lasts;
        if (lasts > TTL) {
            lose(member);
        }
    }

    private void lose(Member member) {
        if (mayAct(member) && lostAt < 0) {
            lostAt = now;
            lostToken = given;
        }
    }

    // ---- Judgement
    // ------------------------------------------------------------------------------------
    private boolean mayAct(Member member) {
        return member.holder.phase() == LeaseHolder.Phase.HELD
                && new LeaseHolder(TASK, TTL, ClockDriftBound.STANDARD, member.holder.state())
                        .mayAct(member.process.nanos()); // A copy: asking must not tell it.
    }

    private void judge() {
        Member holding = null;
        for (Member each : members) {
            if (mayAct(each)) {
                if (holding != null) {
                    broken =
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

    private void resource(Member by, long token) {
        if (fence.admit(TASK, token).isPresent()) {
            return;
        }
        if (token < atResource) {
            broken =
                    "the resource takes an act of member "
                            + by.id
                            + " under token "
                            + token
                            + " after one under "
                            + atResource;
        }
        atResource = token;
        did(token);
    }

    private void news(ReplicatedState.StateChange news) {
        if (!news.machine().equals("lease")) {
            return;
        }
        LeaseEvent event = LeaseEvent.decode(news.event());
        if (event instanceof LeaseEvent.Granted granted) {
            if (granted.token() <= given) {
                broken = "token " + granted.token() + " is given after " + given;
            }
            given = granted.token();
            members.forEach(
                    each ->
                            link(
                                    each.id,
                                    () -> each.process.after(1, () -> each.client.onEvent(event))));
        } else if (event instanceof LeaseEvent.ActionPerformed act) {
            long number = new BinaryCodec.Reader("act", act.payload()).i64();
            if (!done.add(number)) {
                broken = "act " + number + " is done twice by the log";
            }
            if (act.token() < inLog) {
                broken =
                        "the log takes an act under token "
                                + act.token()
                                + " after one under "
                                + inLog;
            }
            inLog = act.token();
            did(act.token());
        }
    }

    private void did(long token) {
        accepted++;
        if (lostAt >= 0 && token > lostToken) {
            handOvers.add((double) (now - lostAt) / TTL);
            lostAt = -1;
        }
    }
}
