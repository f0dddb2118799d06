// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.CommandEffects;
import calicostream.cluster.EventLoop;
import calicostream.cluster.MemberSession;
import calicostream.cluster.ReplicatedState;
import calicostream.cluster.StateMachine;
import calicostream.cluster.sim.SimulationExtension;
import calicostream.prove.Mutant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Leases on a simulated cluster. Each member acquires two leases, executes actions in the log and
 * at a resource, and releases and acquires the leases again at random. A message to the resource
 * may take up to three times to live, as if the member had been paused between its check and its
 * action. Invariants are checked after each event: no two members hold the same lease according to
 * their clocks, no member still holds a lease that was granted to another member, and the resource
 * accepts no action after one under a higher token.
 */
public final class LeaseSimulation implements SimulationExtension {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long SHORT_TTL_NANOS = 1000 * NANOS_PER_MILLI;

    /**
     * Twice the time to live of a session, so that a partitioned member may still hold the lease
     * when its session has ended.
     */
    private static final long LONG_TTL_NANOS = 3000 * NANOS_PER_MILLI;

    private static final long FAULTS_END_NANOS = 6_000 * NANOS_PER_MILLI;
    private static final String[] LEASES = {"divide", "roll"};
    private static final long HEARTBEAT_NANOS = 50 * NANOS_PER_MILLI;
    private static final int NON_VOTING_MEMBERS = 4;
    private static final String MACHINE = "lease";

    /** The lease faults to inject, in addition to the faults of the cluster simulation. */
    public enum Plan {
        /**
         * Holders are killed, paused beyond the expiry of their grants, and made to release or
         * transfer their leases.
         */
        ALL,
        /**
         * Holders are killed one after the other; a leader is killed if its process is the holder.
         */
        KILLS,
        /** As {@link #KILLS}, but only members that run no voter acquire the leases. */
        KILLS_OUTSIDE
    }

    private final class Member {
        private final int id;
        private final EventLoop process;
        private final MemberSession session;
        private final LeaseClient client;
        private final List<LeaseHolder> holders = new ArrayList<>();

        Member(int id, EventLoop process, MemberSession session) {
            this.id = id;
            this.process = process;
            this.session = session;
            client = new LeaseClient(session, MACHINE, process::nanoTime);
            for (String name : LEASES) {
                long ttlNanos = ttlNanos(name);
                LeaseHolder holder =
                        client.add(
                                components.createHolder(
                                        name,
                                        ttlNanos,
                                        new LeaseHolder(name, ttlNanos, process.nanoTime())
                                                .state()));
                holders.add(holder);
                if (!settling
                        && (plan != Plan.KILLS_OUTSIDE
                                || id > control.members() - NON_VOTING_MEMBERS)) {
                    holder.acquire();
                }
            }
            executeAction();
        }

        /**
         * Executes an action if the lease is held, and schedules the next one. A message to the
         * resource is delivered even if the lease expires in transit.
         */
        void executeAction() {
            LeaseHolder holder = holders.get(control.random().nextInt(LEASES.length));
            FencedActions actions = client.fencedActions(holder);
            if (control.random().nextInt(4) == 0) {
                FencedResource.FencedResult<LeaseCommand.FencedAction> command =
                        actions.createLogCommand(
                                new BinaryCodec.Writer().i64(++actionNumber).toByteArray());
                if (command.isCompleted()) {
                    session.submit(MACHINE, command.result().encode(), outcome -> {});
                }
            } else {
                actions.executeAt(
                        (lease, token, payload) -> {
                            control.schedule(
                                    control.nowNanos() + NANOS_PER_MILLI + delayNanos(lease),
                                    () -> executeAtResource(lease, token));
                            return FencedResource.FencedResult.completed(null);
                        },
                        null);
            }
            process.schedule(
                    this::executeAction, (10 + control.random().nextInt(50)) * NANOS_PER_MILLI);
        }

        /** One in forty messages to the resource is delayed by up to three times to live. */
        private long delayNanos(String lease) {
            boolean delayed = control.random().nextInt(40) == 0;
            int maxMillis = (int) (3 * ttlNanos(lease) / NANOS_PER_MILLI);
            return delayed ? control.random().nextInt(maxMillis) * NANOS_PER_MILLI : 0;
        }

        boolean holds(int leaseIndex) {
            LeaseHolder holder = holders.get(leaseIndex);
            return holder.isValidAt(process.nanoTime());
        }
    }

    private final LeaseComponents components;
    private final Plan plan;
    private final boolean notifiesNonReplicas;
    private final Map<Integer, Member> members = new TreeMap<>();
    private final LeaseHistoryChecker historyChecker = new LeaseHistoryChecker();
    private final FencingTokenGuard tokenGuard;
    private final Map<String, Long> lastResourceTokens = new HashMap<>();
    private final Map<Integer, Long> killedAt = new HashMap<>();
    private final Map<Integer, Long> killedTokens = new HashMap<>();
    private final List<Double> handoverTimes = new ArrayList<>();
    private SimulationControl control;
    private boolean settling;
    private long actionNumber;
    private int acceptedActions;
    private int rejectedActions;
    private String firstViolation = "";

    /**
     * @param removed the safeguard to remove; null for none
     * @param notifiesNonReplicas whether members without a replica are notified of grants
     */
    public LeaseSimulation(Plan plan, Mutant removed, boolean notifiesNonReplicas) {
        this.plan = plan;
        this.notifiesNonReplicas = notifiesNonReplicas;
        components = new LeaseComponents(removed, LeaseLimits.STANDARD, ClockDriftBound.STANDARD);
        tokenGuard = components.createTokenGuard(LEASES[0], 0);
    }

    /**
     * The times from the kill of a holder to the first action of the next holder, in times to live.
     */
    public List<Double> handoverTimes() {
        return handoverTimes;
    }

    /**
     * The number of actions that the resource accepted, of actions that it rejected, of all grants,
     * and of grants to queued sessions, in this order.
     */
    public List<Integer> counts() {
        return List.of(
                acceptedActions,
                rejectedActions,
                historyChecker.grantCount(),
                historyChecker.queuedGrantCount());
    }

    private long ttlNanos(String name) {
        return plan == Plan.ALL && name.equals(LEASES[1]) ? LONG_TTL_NANOS : SHORT_TTL_NANOS;
    }

    @Override
    public void started(SimulationControl simulationControl) {
        control = simulationControl;
        scheduleNextFault(plan == Plan.ALL ? 500 : 2_500);
    }

    @Override
    public boolean isNotifiedByLeader() {
        return notifiesNonReplicas;
    }

    @Override
    public Map<String, ReplicatedPart> parts(int member) {
        LeaseStateMachine machine = components.createMachine(null);
        StateMachine observed = new ObservedMachine(machine, historyChecker, this::onEffects);
        return Map.of(
                MACHINE,
                new ReplicatedPart(
                        observed,
                        components.createExpiryMonitor(machine, Map.of(), HEARTBEAT_NANOS)));
    }

    @Override
    public void memberStarted(int member, EventLoop process, MemberSession session) {
        members.put(member, new Member(member, process, session));
    }

    @Override
    public void memberCrashed(int member) {
        members.remove(member);
    }

    @Override
    public void tick(int member) {
        members.get(member).client.tick();
    }

    @Override
    public void stateChanged(int member, ReplicatedState.StateChange change) {
        if (change.machine().equals(MACHINE) && members.containsKey(member)) {
            members.get(member).client.onEvent(LeaseEvent.decode(change.event()));
        }
    }

    @Override
    public void stopLoad() {
        settling = true;
        members.values().forEach(member -> member.holders.forEach(LeaseHolder::release));
    }

    private void scheduleNextFault(long millis) {
        control.schedule(
                control.nowNanos() + millis * NANOS_PER_MILLI,
                () -> {
                    if (control.nowNanos() > FAULTS_END_NANOS || settling) {
                        return;
                    }
                    int leaseIndex = control.random().nextInt(LEASES.length);
                    members.values().stream()
                            .filter(member -> member.holds(leaseIndex))
                            .findFirst()
                            .ifPresent(holdingMember -> injectFault(holdingMember, leaseIndex));
                    scheduleNextFault(
                            plan == Plan.ALL ? 100 + control.random().nextInt(1_500) : 2_200);
                });
    }

    private void injectFault(Member holdingMember, int leaseIndex) {
        LeaseHolder holder = holdingMember.holders.get(leaseIndex);
        switch (plan == Plan.ALL ? control.random().nextInt(6) : 0) {
            case 0 -> {
                List<Integer> held =
                        IntStream.range(0, LEASES.length)
                                .filter(holdingMember::holds)
                                .boxed()
                                .toList();
                if (control.crash(holdingMember.id, 500 + control.random().nextInt(1_000))) {
                    held.forEach(
                            heldIndex -> {
                                killedAt.put(heldIndex, control.nowNanos());
                                killedTokens.put(
                                        heldIndex, holdingMember.holders.get(heldIndex).token());
                            });
                }
            }
            case 1 ->
                    control.pause(holdingMember.id, (int) (3 * SHORT_TTL_NANOS / NANOS_PER_MILLI));
            case 2 ->
                    control.pause(
                            holdingMember.id,
                            control.random()
                                    .nextInt((int) (2 * SHORT_TTL_NANOS / NANOS_PER_MILLI)));
            case 3 -> {
                holder.transfer(0);
                acquireLater(holdingMember, holder);
            }
            case 4 -> {
                // All waiters are paused when the lease is granted to the first of them, which
                // receives the event after its grant has expired.
                members.values().stream()
                        .filter(
                                waiter ->
                                        waiter.holders.get(leaseIndex).phase()
                                                == LeaseHolder.Phase.WAITING)
                        .forEach(
                                waiter ->
                                        control.pause(
                                                waiter.id,
                                                (int) (2 * SHORT_TTL_NANOS / NANOS_PER_MILLI)
                                                        + control.random().nextInt(500)));
                holder.transfer(0);
                acquireLater(holdingMember, holder);
            }
            default -> {
                holder.release();
                acquireLater(holdingMember, holder);
            }
        }
    }

    private void acquireLater(Member member, LeaseHolder holder) {
        control.schedule(
                control.nowNanos() + control.random().nextInt(500) * NANOS_PER_MILLI,
                () -> {
                    if (!settling && members.get(member.id) == member) {
                        holder.acquire();
                    }
                });
    }

    /** Checks that the former holder's grant has expired when the log grants the lease. */
    private void onEffects(CommandEffects effects) {
        for (CommandEffects.Event event : effects.events()) {
            if (LeaseEvent.decode(event) instanceof LeaseEvent.Granted granted) {
                int leaseIndex = granted.name().equals(LEASES[0]) ? 0 : 1;
                members.values().stream()
                        .filter(member -> member.holds(leaseIndex))
                        .forEach(
                                member ->
                                        check(
                                                false,
                                                "member "
                                                        + member.id
                                                        + " holds "
                                                        + granted.name()
                                                        + " while it is granted under token "
                                                        + granted.token()));
            } else if (LeaseEvent.decode(event) instanceof LeaseEvent.ActionPerformed action) {
                onAction(action.name(), action.token());
            }
        }
    }

    private void executeAtResource(String lease, long token) {
        if (tokenGuard.admit(lease, token).isPresent()) {
            rejectedActions++;
            return;
        }
        acceptedActions++;
        check(
                token >= lastResourceTokens.getOrDefault(lease, 0L),
                "the resource accepts an action of "
                        + lease
                        + " under token "
                        + token
                        + " after an action under token "
                        + lastResourceTokens.get(lease));
        lastResourceTokens.put(lease, token);
        onAction(lease, token);
    }

    private void onAction(String lease, long token) {
        int leaseIndex = lease.equals(LEASES[0]) ? 0 : 1;
        if (killedAt.containsKey(leaseIndex) && token > killedTokens.get(leaseIndex)) {
            handoverTimes.add(
                    (double) (control.nowNanos() - killedAt.remove(leaseIndex)) / ttlNanos(lease));
        }
    }

    private void check(boolean holds, String message) {
        if (!holds && firstViolation.isEmpty()) {
            firstViolation = message;
        }
    }

    @Override
    public String violation() {
        check(historyChecker.violation().isEmpty(), historyChecker.violation());
        for (int leaseIndex = 0;
                leaseIndex < LEASES.length && firstViolation.isEmpty();
                leaseIndex++) {
            Member holdingMember = null;
            for (Member member : members.values()) {
                if (member.holds(leaseIndex)) {
                    check(
                            holdingMember == null,
                            "members "
                                    + (holdingMember == null ? 0 : holdingMember.id)
                                    + " and "
                                    + member.id
                                    + " hold "
                                    + LEASES[leaseIndex]);
                    holdingMember = member;
                }
            }
        }
        return firstViolation;
    }

    @Override
    public String finalViolation() {
        return acceptedActions == 0 ? "no action was accepted" : "";
    }
}
