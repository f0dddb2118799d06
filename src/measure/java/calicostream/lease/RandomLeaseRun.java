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
 * A randomized run, determined by its seed, of members with their sessions, holders and actions, a
 * {@link SimulatedLog} and a resource in virtual time. Links lose, duplicate and delay messages;
 * processes restart or are paused for up to three times to live; clocks drift by up to 500 ppm; the
 * leader changes; the quorum is lost. Invariants are checked after each event.
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
     * @param tokens the most recently granted token
     * @param handoverTimes times from the loss of a holder to the first action of the next holder,
     *     in times to live
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
            client = new LeaseClient(session, "lease", process::monotonicNanos);
            holder =
                    client.add(
                            components.createHolder(
                                    LEASE,
                                    TTL_NANOS,
                                    new LeaseHolder(LEASE, TTL_NANOS, process.monotonicNanos())
                                            .state()));
            actions = client.fencedActions(holder);
            holder.acquire();
            tick();
            executeAction();
        }

        void tick() {
            client.tick();
            session.tick(process.monotonicNanos()).forEach(this::send);
            process.scheduleAfter(TICK_NANOS, this::tick);
        }

        private void send(MemberSession.OutgoingFrame frame) {
            int incarnation = process.incarnation();
            Consumer<byte[]> onReply =
                    reply -> sendOverLink(id, () -> receive(frame.voter(), reply, incarnation));
            sendOverLink(id, () -> log.received(frame.voter(), frame.frame(), onReply));
        }

        private void receive(int voter, byte[] reply, int incarnation) {
            process.scheduleAfter(
                    1,
                    () -> {
                        if (process.incarnation() == incarnation) {
                            MemberMessage.Reply decoded =
                                    (MemberMessage.Reply) MemberMessage.decode(reply);
                            session.received(voter, decoded, process.monotonicNanos());
                        }
                    });
        }

        /**
         * Executes an action if the lease is held, and schedules the next one. The action may reach
         * the resource much later.
         */
        void executeAction() {
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
            process.scheduleAfter((10 + random.nextInt(50)) * NANOS_PER_MILLI, this::executeAction);
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

    private RandomLeaseRun(long seed, Mutant removed, boolean killsOnly) {
        random = new Random(seed);
        time = new SimulatedTime(random);
        this.killsOnly = killsOnly;
        sessionMillis = killsOnly ? 1500 : 400 + random.nextInt(1400);
        components = new LeaseComponents(removed, LeaseLimits.STANDARD, ClockDriftBound.STANDARD);
        tokenGuard = components.createTokenGuard(LEASE, 0);
        IntStream.range(0, SimulatedLog.VOTERS).forEach(i -> voters.add(time.createProcess()));
        log = new SimulatedLog(random, time, voters, components, this::onStateChange);
        IntStream.rangeClosed(1, 4)
                .forEach(id -> members.add(new Member(id + SimulatedLog.VOTERS)));
    }

    /**
     * Runs a simulation with all faults.
     *
     * @param removed the safeguard to remove; null for none
     */
    static Result randomFaults(long seed, Mutant removed) {
        return new RandomLeaseRun(seed, removed, false).run();
    }

    /** Runs a simulation whose only fault is killing holders, to measure handover times. */
    static Result killsOnly(long seed) {
        return new RandomLeaseRun(seed, null, true).run();
    }

    private Result run() {
        time.scheduleAfter(FIRST_FAULT_NANOS, this::injectFault);
        long actionsBeforeFinalPeriod = 0;
        Runnable task = time.nextTask(END_NANOS);
        while (task != null && violation.isEmpty()) {
            task.run();
            checkSingleHolder();
            actionsBeforeFinalPeriod =
                    time.now() < END_NANOS - 3 * TTL_NANOS
                            ? acceptedActions
                            : actionsBeforeFinalPeriod;
            task = violation.isEmpty() ? time.nextTask(END_NANOS) : null;
        }
        if (violation.isEmpty() && acceptedActions == actionsBeforeFinalPeriod) {
            violation = "no action is accepted in the last three times to live of the run";
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

    private void sendOverLink(int member, Runnable onArrival) {
        boolean partitioned = member != 0 && member == partitionedMember;
        if (partitioned || random.nextDouble() < lossProbability) {
            return;
        }
        int copies = random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            time.scheduleAfter(
                    100_000
                            + random.nextInt(maxDelayMillis) * NANOS_PER_MILLI
                            + random.nextInt(1_000_000),
                    onArrival);
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
        Member holdingMember = members.stream().filter(this::mayAct).findFirst().orElse(member);
        SimulatedTime.Process voter = voters.get(random.nextInt(SimulatedLog.VOTERS));
        long durationNanos = random.nextInt(3000) * NANOS_PER_MILLI;
        switch (killsOnly ? 2 : random.nextInt(11)) {
            case 0 -> pause(holdingMember, durationNanos);
            case 1 -> pause(member, durationNanos);
            case 2 -> {
                recordLoss(holdingMember);
                holdingMember.start();
            }
            case 3 -> {
                member.holder.release();
                time.scheduleAfter(durationNanos, member.holder::acquire);
            }
            case 4 -> {
                holdingMember.holder.transfer(0);
                time.scheduleAfter(durationNanos, holdingMember.holder::acquire);
            }
            case 5 -> log.changeLeader(1 + random.nextInt(SimulatedLog.VOTERS));
            case 6 -> {
                voter.pauseUntil(time.now() + durationNanos);
                if (voters.get(log.leader() - 1) == voter) {
                    time.scheduleAfter(
                            300 * NANOS_PER_MILLI,
                            () -> log.changeLeader(1 + log.leader() % SimulatedLog.VOTERS));
                }
            }
            case 7 -> {
                partitionedMember = holdingMember.id;
                recordLoss(holdingMember);
                time.scheduleAfter(durationNanos, () -> partitionedMember = 0);
            }
            case 8 -> {
                lossProbability = random.nextDouble() / 2;
                maxDelayMillis = 1 + random.nextInt(600);
                time.scheduleAfter(
                        durationNanos,
                        () -> {
                            lossProbability = 0;
                            maxDelayMillis = 5;
                        });
            }
            case 9 -> {
                log.setQuorum(false);
                time.scheduleAfter(durationNanos / 2, () -> log.setQuorum(true));
            }
            default -> {
                members.forEach(
                        driftingMember ->
                                driftingMember.process.setDrift(random.nextInt(1001) - 500));
                voters.forEach(driftingVoter -> driftingVoter.setDrift(random.nextInt(1001) - 500));
            }
        }
        time.scheduleAfter(
                (killsOnly ? 2500 : 100) * NANOS_PER_MILLI + random.nextInt(1200) * NANOS_PER_MILLI,
                this::injectFault);
    }

    private void pause(Member member, long durationNanos) {
        member.process.pauseUntil(time.now() + durationNanos);
        if (durationNanos > TTL_NANOS) {
            recordLoss(member);
        }
    }

    private void recordLoss(Member member) {
        if (mayAct(member) && holderLostAt < 0) {
            holderLostAt = time.now();
            lostToken = lastGrantedToken;
        }
    }

    private boolean mayAct(Member member) {
        return member.holder.isValidAt(member.process.monotonicNanos());
    }

    private void checkSingleHolder() {
        Member holdingMember = null;
        for (Member member : members) {
            if (mayAct(member)) {
                if (holdingMember != null) {
                    violation =
                            "members "
                                    + holdingMember.id
                                    + " and "
                                    + member.id
                                    + " both hold the lease according to their clocks";
                }
                holdingMember = member;
            }
        }
    }

    private void executeAtResource(Member sender, long token) {
        if (tokenGuard.admit(LEASE, token).isPresent()) {
            return;
        }
        if (token < lastResourceToken) {
            violation =
                    "the resource accepts an action of member "
                            + sender.id
                            + " under token "
                            + token
                            + " after an action under token "
                            + lastResourceToken;
        }
        lastResourceToken = token;
        onAction(token);
    }

    private void onStateChange(ReplicatedState.StateChange change) {
        if (!change.machine().equals("lease")) {
            return;
        }
        LeaseEvent event = LeaseEvent.decode(change.event());
        if (event instanceof LeaseEvent.Granted granted) {
            if (granted.token() <= lastGrantedToken) {
                violation = "token " + granted.token() + " is granted after " + lastGrantedToken;
            }
            lastGrantedToken = granted.token();
            members.forEach(
                    member ->
                            sendOverLink(
                                    member.id,
                                    () ->
                                            member.process.scheduleAfter(
                                                    1, () -> member.client.onEvent(event))));
        } else if (event instanceof LeaseEvent.ActionPerformed action) {
            long number = new BinaryCodec.Reader("act", action.payload()).i64();
            if (!appliedActions.add(number)) {
                violation = "action " + number + " is applied twice";
            }
            if (action.token() < lastLogToken) {
                violation =
                        "the log accepts an action under token "
                                + action.token()
                                + " after an action under token "
                                + lastLogToken;
            }
            lastLogToken = action.token();
            onAction(action.token());
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
