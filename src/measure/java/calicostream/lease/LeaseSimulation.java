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
 * Leases on a simulated cluster: each member wants two, acts in the log and at a resource whose
 * messages may take three times to live, as if the member had been paused between its check and its
 * action, and changes its mind. Invariants are checked after each event: no two members hold the
 * same lease by their clocks, nobody does whose lease was granted to another, and the resource
 * accepted no action after one under a higher token.
 */
public final class LeaseSimulation implements SimulationExtension {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long SHORT_TTL_NANOS = 1000 * NANOS_PER_MILLI;

    /** Twice a session's, so that a partitioned member may hold when its session has ended. */
    private static final long LONG_TTL_NANOS = 3000 * NANOS_PER_MILLI;

    private static final long FAULTS_END_NANOS = 6_000 * NANOS_PER_MILLI;
    private static final String[] LEASES = {"divide", "roll"};
    private static final long HEARTBEAT_NANOS = 50 * NANOS_PER_MILLI;
    private static final int NON_VOTING_MEMBERS = 4;
    private static final String MACHINE = "lease";

    /** The faults beside those of the cluster simulation itself. */
    public enum Plan {
        /** Holders are killed, paused past their expiry, and stopped; members change their mind. */
        ALL,
        /**
         * Holders are killed one after the other, and leaders with them where they are the same.
         */
        KILLS,
        /** As {@link #KILLS}, and only members that run no voter want the leases. */
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
                long ttl = ttl(name);
                LeaseHolder holder =
                        client.add(
                                components.createHolder(
                                        name,
                                        ttl,
                                        new LeaseHolder(name, ttl, process.nanoTime()).state()));
                holders.add(holder);
                if (!settling
                        && (plan != Plan.KILLS_OUTSIDE
                                || id > world.members() - NON_VOTING_MEMBERS)) {
                    holder.acquire();
                }
            }
            act();
        }

        /** Checks and acts; a message to the resource is not stopped once it was sent. */
        void act() {
            LeaseHolder holder = holders.get(world.random().nextInt(LEASES.length));
            FencedActions actions = client.fencedActions(holder);
            if (world.random().nextInt(4) == 0) {
                FencedResource.FencedResult<LeaseCommand.FencedAction> command =
                        actions.createLogCommand(
                                new BinaryCodec.Writer().i64(++actionNumber).toByteArray());
                if (command.isCompleted()) {
                    session.submit(MACHINE, command.result().encode(), outcome -> {});
                }
            } else {
                actions.executeAt(
                        (lease, token, payload) -> {
                            world.schedule(
                                    world.nowNanos() + NANOS_PER_MILLI + delayNanos(lease),
                                    () -> executeAtResource(lease, token));
                            return FencedResource.FencedResult.completed(null);
                        },
                        null);
            }
            process.schedule(this::act, (10 + world.random().nextInt(50)) * NANOS_PER_MILLI);
        }

        /** Now and then a message to the resource takes up to three times to live. */
        private long delayNanos(String lease) {
            boolean delayed = world.random().nextInt(40) == 0;
            int maxMillis = (int) (3 * ttl(lease) / NANOS_PER_MILLI);
            return delayed ? world.random().nextInt(maxMillis) * NANOS_PER_MILLI : 0;
        }

        boolean holds(int which) {
            LeaseHolder holder = holders.get(which);
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
    private SimulationControl world;
    private boolean settling;
    private long actionNumber;
    private int acceptedActions;
    private int rejectedActions;
    private String fault = "";

    /**
     * @param removed the safeguard removed; null: none
     * @param notifiesNonReplicas whether members without a replica are notified of grants
     */
    public LeaseSimulation(Plan plan, Mutant removed, boolean notifiesNonReplicas) {
        this.plan = plan;
        this.notifiesNonReplicas = notifiesNonReplicas;
        components = new LeaseComponents(removed, LeaseLimits.STANDARD, ClockDriftBound.STANDARD);
        tokenGuard = components.createTokenGuard(LEASES[0], 0);
    }

    /** From the kill of a holder to the next holder's first action, in times to live. */
    public List<Double> handoverTimes() {
        return handoverTimes;
    }

    /**
     * Numbers of actions that the resource accepted and rejected, of grants, and of grants from the
     * queue.
     */
    public List<Integer> counts() {
        return List.of(
                acceptedActions,
                rejectedActions,
                historyChecker.grantCount(),
                historyChecker.queuedGrantCount());
    }

    private long ttl(String name) {
        return plan == Plan.ALL && name.equals(LEASES[1]) ? LONG_TTL_NANOS : SHORT_TTL_NANOS;
    }

    @Override
    public void started(SimulationControl powers) {
        world = powers;
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
    public void stateChanged(int member, ReplicatedState.StateChange news) {
        if (news.machine().equals(MACHINE) && members.containsKey(member)) {
            members.get(member).client.onEvent(LeaseEvent.decode(news.event()));
        }
    }

    @Override
    public void stopLoad() {
        settling = true;
        members.values().forEach(each -> each.holders.forEach(LeaseHolder::release));
    }

    // ---- Faults
    private void scheduleNextFault(long millis) {
        world.schedule(
                world.nowNanos() + millis * NANOS_PER_MILLI,
                () -> {
                    if (world.nowNanos() > FAULTS_END_NANOS || settling) {
                        return;
                    }
                    int which = world.random().nextInt(LEASES.length);
                    members.values().stream()
                            .filter(each -> each.holds(which))
                            .findFirst()
                            .ifPresent(holding -> injectFault(holding, which));
                    scheduleNextFault(
                            plan == Plan.ALL ? 100 + world.random().nextInt(1_500) : 2_200);
                });
    }

    private void injectFault(Member holding, int which) {
        LeaseHolder holder = holding.holders.get(which);
        switch (plan == Plan.ALL ? world.random().nextInt(6) : 0) {
            case 0 -> {
                List<Integer> held =
                        IntStream.range(0, LEASES.length).filter(holding::holds).boxed().toList();
                if (world.crash(holding.id, 500 + world.random().nextInt(1_000))) {
                    held.forEach(
                            each -> {
                                killedAt.put(each, world.nowNanos());
                                killedTokens.put(each, holding.holders.get(each).token());
                            });
                }
            }
            case 1 -> world.pause(holding.id, (int) (3 * SHORT_TTL_NANOS / NANOS_PER_MILLI));
            case 2 ->
                    world.pause(
                            holding.id,
                            world.random().nextInt((int) (2 * SHORT_TTL_NANOS / NANOS_PER_MILLI)));
            case 3 -> {
                holder.transfer(0);
                acquireLater(holding, holder);
            }
            case 4 -> {
                // Waiters are paused when their turn comes, and learn of it when the grant has
                // expired.
                members.values().stream()
                        .filter(
                                each ->
                                        each.holders.get(which).phase()
                                                == LeaseHolder.Phase.WAITING)
                        .forEach(
                                each ->
                                        world.pause(
                                                each.id,
                                                (int) (2 * SHORT_TTL_NANOS / NANOS_PER_MILLI)
                                                        + world.random().nextInt(500)));
                holder.transfer(0);
                acquireLater(holding, holder);
            }
            default -> {
                holder.release();
                acquireLater(holding, holder);
            }
        }
    }

    private void acquireLater(Member member, LeaseHolder holder) {
        world.schedule(
                world.nowNanos() + world.random().nextInt(500) * NANOS_PER_MILLI,
                () -> {
                    if (!settling && members.get(member.id) == member) {
                        holder.acquire();
                    }
                });
    }

    // ---- Invariants
    /** When a lease is granted in the log, the former holder's grant must have expired. */
    private void onEffects(CommandEffects effects) {
        for (CommandEffects.Event each : effects.events()) {
            if (LeaseEvent.decode(each) instanceof LeaseEvent.Granted granted) {
                int which = granted.name().equals(LEASES[0]) ? 0 : 1;
                members.values().stream()
                        .filter(member -> member.holds(which))
                        .forEach(
                                member ->
                                        check(
                                                false,
                                                "member "
                                                        + member.id
                                                        + " holds "
                                                        + granted.name()
                                                        + " when it is granted under token "
                                                        + granted.token()));
            } else if (LeaseEvent.decode(each) instanceof LeaseEvent.ActionPerformed action) {
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
                        + " after one under "
                        + lastResourceTokens.get(lease));
        lastResourceTokens.put(lease, token);
        onAction(lease, token);
    }

    private void onAction(String lease, long token) {
        int which = lease.equals(LEASES[0]) ? 0 : 1;
        if (killedAt.containsKey(which) && token > killedTokens.get(which)) {
            handoverTimes.add((double) (world.nowNanos() - killedAt.remove(which)) / ttl(lease));
        }
    }

    private void check(boolean holds, String message) {
        if (!holds && fault.isEmpty()) {
            fault = message;
        }
    }

    @Override
    public String violation() {
        check(historyChecker.violation().isEmpty(), historyChecker.violation());
        for (int which = 0; which < LEASES.length && fault.isEmpty(); which++) {
            Member holding = null;
            for (Member each : members.values()) {
                if (each.holds(which)) {
                    check(
                            holding == null,
                            "members "
                                    + (holding == null ? 0 : holding.id)
                                    + " and "
                                    + each.id
                                    + " hold "
                                    + LEASES[which]);
                    holding = each;
                }
            }
        }
        return fault;
    }

    @Override
    public String finalViolation() {
        return acceptedActions == 0 ? "nobody acted" : "";
    }
}
