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
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * A randomized run of members with their sessions, holders and actions, a {@link SimulatedLog} and
 * a resource in virtual time, determined by its seed. Links lose, duplicate and delay messages;
 * processes are paused for up to three times to live, or restart; clocks drift by 500 ppm; leaders
 * change; quorums are lost. Invariants are checked after each event.
 */
final class RandomLeaseRun {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TTL_NANOS = 1000 * NANOS_PER_MILLI;
    private static final long FAULTS_END_NANOS = 20_000 * NANOS_PER_MILLI;
    private static final long END_NANOS = 30_000 * NANOS_PER_MILLI;
    private static final long FIRST_FAULT_NANOS = 500 * NANOS_PER_MILLI;
    private static final long TICK_NANOS = 15 * NANOS_PER_MILLI;
    private static final String LEASE = "task";

    /**
     * The result of a run.
     *
     * @param violation the first violated invariant; empty if there is none
     * @param faults number of injected faults
     * @param actions number of actions that the log or the resource accepted
     * @param tokens the last token granted
     * @param handoverTimes in times to live, from a holder's loss to the next holder's first action
     */
    record Result(
            String violation, int faults, int actions, int tokens, List<Double> handoverTimes) {}

    private final class Member {
        final SimulatedTime.Process process = time.createProcess();
        final int id;
        MemberSession session;
        LeaseClient client;
        LeaseHolder holder;
        FencedActions actions;

        Member(int id) {
            this.id = id;
            start();
        }

        void start() {
            long incarnation = process.restart();
            session =
                    new MemberSession(
                            new MemberSession.Settings(id, sessionMillis, 150, 8),
                            List.of(1, 2, 3),
                            (long) id << 40 | incarnation << 32);
            client = new LeaseClient(session, "lease", process::nanos);
            holder =
                    client.add(
                            components.createHolder(
                                    LEASE,
                                    TTL_NANOS,
                                    new LeaseHolder(LEASE, TTL_NANOS, process.nanos()).state()));
            actions = client.fencedActions(holder);
            holder.acquire();
            tick();
            act();
        }

        void tick() {
            client.tick();
            session.tick(process.nanos()).forEach(this::send);
            process.after(TICK_NANOS, this::tick);
        }

        private void send(MemberSession.OutgoingFrame frame) {
            int incarnation = process.incarnation();
            Consumer<byte[]> onReply =
                    reply -> sendOverLink(id, () -> receive(frame.voter(), reply, incarnation));
            sendOverLink(id, () -> log.received(frame.voter(), frame.frame(), onReply));
        }

        private void receive(int voter, byte[] reply, int incarnation) {
            process.after(
                    1,
                    () -> {
                        if (process.incarnation() == incarnation) {
                            MemberMessage.Reply decoded =
                                    (MemberMessage.Reply) MemberMessage.decode(reply);
                            session.received(voter, decoded, process.nanos());
                        }
                    });
        }

        /** Checks and acts; the action may reach the resource much later. */
        void act() {
            if (random.nextInt(3) == 0) {
                actionNumber++;
                byte[] number = new BinaryCodec.Writer().i64(actionNumber).toByteArray();
                FencedResource.FencedResult<LeaseCommand.FencedAction> command =
                        actions.createLogCommand(number);
                if (command.isCompleted()) {
                    session.submit("lease", command.result().encode(), outcome -> {});
                }
            } else {
                actions.executeAt(
                        (lease, token, payload) -> {
                            sendOverLink(0, () -> executeAtResource(this, token));
                            return FencedResource.FencedResult.completed(null);
                        },
                        null);
            }
            process.after((10 + random.nextInt(50)) * NANOS_PER_MILLI, this::act);
        }
    }

    private final Random random;
    private final SimulatedTime time;
    private final LeaseComponents components;
    private final boolean killsOnly;
    private final int sessionMillis;
    private final List<SimulatedTime.Process> voters = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final Set<Long> appliedActions = new HashSet<>();
    private final List<Double> handoverTimes = new ArrayList<>();
    private final SimulatedLog log;
    private final FencingTokenGuard tokenGuard;
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

    private RandomLeaseRun(long seed, Mutant without, boolean killsOnly) {
        random = new Random(seed);
        time = new SimulatedTime(random);
        this.killsOnly = killsOnly;
        sessionMillis = killsOnly ? 1500 : 400 + random.nextInt(1400);
        components = new LeaseComponents(without, LeaseLimits.STANDARD, ClockDriftBound.STANDARD);
        tokenGuard = components.createTokenGuard(LEASE, 0);
        IntStream.range(0, SimulatedLog.VOTERS).forEach(i -> voters.add(time.createProcess()));
        log = new SimulatedLog(random, time, voters, components, this::onStateChange);
        IntStream.rangeClosed(1, 4)
                .forEach(id -> members.add(new Member(id + SimulatedLog.VOTERS)));
    }

    /**
     * Runs with all faults.
     *
     * @param without the safeguard removed; null: none
     */
    static Result randomFaults(long seed, Mutant without) {
        return new RandomLeaseRun(seed, without, false).run();
    }

    /** Runs with holders that are killed as the only fault, to measure handovers. */
    static Result killsOnly(long seed) {
        return new RandomLeaseRun(seed, null, true).run();
    }

    private Result run() {
        time.after(FIRST_FAULT_NANOS, this::injectFault);
        long settled = 0;
        Runnable task = time.nextTask(END_NANOS);
        while (task != null && violation.isEmpty()) {
            task.run();
            checkSingleHolder();
            settled = time.now() < END_NANOS - 3 * TTL_NANOS ? acceptedActions : settled;
            task = violation.isEmpty() ? time.nextTask(END_NANOS) : null;
        }
        if (violation.isEmpty() && acceptedActions == settled) {
            violation = "nobody acts three times to live after the last fault";
        }
        return new Result(
                violation.isEmpty()
                        ? ""
                        : "at " + time.now() / NANOS_PER_MILLI + " ms: " + violation,
                faultCount,
                acceptedActions,
                (int) lastGrantedToken,
                handoverTimes);
    }

    // ---- Links and faults

    private void sendOverLink(int member, Runnable arrives) {
        boolean cut = member != 0 && member == partitionedMember;
        if (cut || random.nextDouble() < lossProbability) {
            return;
        }
        int copies = random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            time.after(
                    100_000
                            + random.nextInt(maxDelayMillis) * NANOS_PER_MILLI
                            + random.nextInt(1_000_000),
                    arrives);
        }
    }

    private void injectFault() {
        if (time.now() > FAULTS_END_NANOS) {
            lossProbability = 0;
            maxDelayMillis = 5;
            partitionedMember = 0;
            log.setQuorum(true);
            return;
        }
        faultCount++;
        Member member = members.get(random.nextInt(members.size()));
        Member holding = members.stream().filter(this::mayAct).findFirst().orElse(member);
        SimulatedTime.Process voter = voters.get(random.nextInt(SimulatedLog.VOTERS));
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
                time.after(lasts, member.holder::acquire);
            }
            case 4 -> {
                holding.holder.transfer(0);
                time.after(lasts, holding.holder::acquire);
            }
            case 5 -> log.changeLeader(1 + random.nextInt(SimulatedLog.VOTERS));
            case 6 -> {
                voter.pauseUntil(time.now() + lasts);
                if (voters.get(log.leader() - 1) == voter) {
                    time.after(
                            300 * NANOS_PER_MILLI,
                            () -> log.changeLeader(1 + log.leader() % SimulatedLog.VOTERS));
                }
            }
            case 7 -> {
                partitionedMember = holding.id;
                recordLoss(holding);
                time.after(lasts, () -> partitionedMember = 0);
            }
            case 8 -> {
                lossProbability = random.nextDouble() / 2;
                maxDelayMillis = 1 + random.nextInt(600);
                time.after(
                        lasts,
                        () -> {
                            lossProbability = 0;
                            maxDelayMillis = 5;
                        });
            }
            case 9 -> {
                log.setQuorum(false);
                time.after(lasts / 2, () -> log.setQuorum(true));
            }
            default -> {
                members.forEach(each -> each.process.setDrift(random.nextInt(1001) - 500));
                voters.forEach(each -> each.setDrift(random.nextInt(1001) - 500));
            }
        }
        time.after(
                (killsOnly ? 2500 : 100) * NANOS_PER_MILLI + random.nextInt(1200) * NANOS_PER_MILLI,
                this::injectFault);
    }

    private void pause(Member member, long lasts) {
        member.process.pauseUntil(time.now() + lasts);
        if (lasts > TTL_NANOS) {
            recordLoss(member);
        }
    }

    private void recordLoss(Member member) {
        if (mayAct(member) && holderLostAt < 0) {
            holderLostAt = time.now();
            lostToken = lastGrantedToken;
        }
    }

    // ---- Invariants

    private boolean mayAct(Member member) {
        return member.holder.isValidAt(member.process.nanos());
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
                                    + " both hold the lease by their clocks";
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
                    "the resource accepts an action of member "
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
                violation = "token " + granted.token() + " is granted after " + lastGrantedToken;
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
                violation = "action " + number + " is applied twice";
            }
            if (act.token() < lastLogToken) {
                violation =
                        "the log accepts an action under token "
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
            handoverTimes.add((double) (time.now() - holderLostAt) / TTL_NANOS);
            holderLostAt = -1;
        }
    }
}
