// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.Command;
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
 * Leases on a simulated cluster: each member wants two, acts by the log and at a resource whose
 * messages may take three times to live, as if it had been stopped between its check and its act,
 * and changes its mind. After each event no two members believe that they hold the same, nobody
 * believes it whose lease was granted on, and the resource took no act after one under a later
 * token.
 */
public final class LeaseSimulation implements SimulationExtension {
    private static final long MILLI = 1_000_000;
    private static final long SHORT = 1000 * MILLI;
    private static final long LONG =
            3000 * MILLI; // twice a session's: who is cut off may hold when its session is over
    private static final long FAULTS_END = 6_000 * MILLI;
    private static final String[] NAMES = {"divide", "roll"};
    private static final long HEARTBEAT = 50 * MILLI;
    private static final int OUTSIDE = 4; // members that run no voter unless one is added
    private static final String MACHINE = "lease";

    /** What goes wrong beside what the cluster itself draws. */
    public enum Plan {
        /**
         * Holders are killed, stopped past their end, told to stop, and sessions change their mind.
         */
        ALL,
        /**
         * Holders are killed, one after the other, and leaders with them where they are the same;
         * nothing else.
         */
        KILLS,
        /** Likewise, and only members that run no voter want the leases. */
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
            for (String name : NAMES) {
                long ttl = ttl(name);
                LeaseHolder holder =
                        client.add(
                                parts.holder(
                                        name,
                                        ttl,
                                        new LeaseHolder(name, ttl, process.nanoTime()).state()));
                holders.add(holder);
                if (!resting && (plan != Plan.KILLS_OUTSIDE || id > world.members() - OUTSIDE)) {
                    holder.acquire();
                }
            }
            act();
        }

        /** Checks and acts, at the resource by a message that nothing holds back once it is out. */
        void act() {
            LeaseHolder holder = holders.get(world.random().nextInt(NAMES.length));
            FencedActions acts = client.fencedActions(holder);
            if (world.random().nextInt(4) == 0) {
                FencedResource.FencedResult<LeaseCommand.FencedAction> command =
                        acts.createLogCommand(new BinaryCodec.Writer().i64(++acted).toByteArray());
                if (command.isCompleted()) {
                    session.submit(MACHINE, command.result().encode(), outcome -> {});
                }
            } else {
                acts.executeAt(
                        (lease, token, payload) -> {
                            boolean held = world.random().nextInt(40) == 0;
                            long late =
                                    held
                                            ? world.random().nextInt((int) (3 * ttl(lease) / MILLI))
                                                    * MILLI
                                            : 0;
                            world.schedule(
                                    world.nowNanos() + MILLI + late, () -> resource(lease, token));
                            return FencedResource.FencedResult.completed(null);
                        },
                        null);
            }
            process.schedule(this::act, (10 + world.random().nextInt(50)) * MILLI);
        }

        boolean holds(int which) {
            LeaseHolder holder = holders.get(which);
            // A copy is asked: the question must not tell the holder that its time is over.
            return holder.phase() == LeaseHolder.Phase.HELD
                    && new LeaseHolder(
                                    holder.name(),
                                    ttl(holder.name()),
                                    ClockDriftBound.STANDARD,
                                    holder.state())
                            .mayAct(process.nanoTime());
        }
    }

    private final LeaseComponents parts;
    private final Plan plan;
    private final boolean told;
    private final Map<Integer, Member> members = new TreeMap<>();
    private final LeaseHistoryChecker book = new LeaseHistoryChecker();
    private final FencingTokenGuard fence;
    private final Map<String, Long> atResource = new HashMap<>();
    private final Map<Integer, Long> killed = new HashMap<>();
    private final Map<Integer, Long> killedToken = new HashMap<>();
    private final List<Double> handOvers = new ArrayList<>();
    private SimulationControl world;
    private boolean resting;
    private long acted;
    private int accepted;
    private int refused;
    private String fault = "";

    /**
     * @param without the safeguard taken out; null: none; @param told whether members without a
     *     copy are told of grants
     */
    public LeaseSimulation(Plan plan, Mutant without, boolean told) {
        this.plan = plan;
        this.told = told;
        parts = new LeaseComponents(without, LeaseLimits.STANDARD, ClockDriftBound.STANDARD);
        fence = parts.fence(NAMES[0], 0);
    }

    /** From the kill of a holder to the next holder's first act, in times to live. */
    public List<Double> handOvers() {
        return handOvers;
    }

    /**
     * Acts that the resource took and refused, grants, and those of them that somebody had waited
     * for.
     */
    public List<Integer> counts() {
        return List.of(accepted, refused, book.granted(), book.fromQueue());
    }

    private long ttl(String name) {
        return plan == Plan.ALL && name.equals(NAMES[1]) ? LONG : SHORT;
    }

    @Override
    public void started(SimulationControl powers) {
        world = powers;
        next(plan == Plan.ALL ? 500 : 2_500);
    }

    @Override
    public boolean isNotifiedByLeader() {
        return told;
    }

    @Override
    public Map<String, ReplicatedPart> parts(int member) {
        LeaseStateMachine machine = parts.machine(null);
        StateMachine watched =
                new StateMachine() {
                    @Override
                    public CommandEffects apply(long index, Command command) {
                        CommandEffects effects = machine.apply(index, command);
                        if (book.applied(index, command, effects)) {
                            granted(effects);
                        }
                        return effects;
                    }

                    @Override
                    public CommandEffects sessionEnded(long index, long session) {
                        CommandEffects effects = machine.sessionEnded(index, session);
                        if (book.ended(index, session, effects)) {
                            granted(effects);
                        }
                        return effects;
                    }

                    @Override
                    public byte[] query(byte[] question) {
                        return machine.query(question);
                    }

                    @Override
                    public byte[] snapshot() {
                        return machine.snapshot();
                    }

                    @Override
                    public void restore(byte[] snapshot) {
                        machine.restore(snapshot);
                    }
                };
        return Map.of(
                MACHINE, new ReplicatedPart(watched, parts.watch(machine, Map.of(), HEARTBEAT)));
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
        resting = true;
        members.values().forEach(each -> each.holders.forEach(LeaseHolder::release));
    }

    // ---- Faults
    // ---------------------------------------------------------------------------------------
    private void next(long millis) {
        world.schedule(
                world.nowNanos() + millis * MILLI,
                () -> {
                    if (world.nowNanos() > FAULTS_END || resting) {
                        return;
                    }
                    int which = world.random().nextInt(NAMES.length);
                    members.values().stream()
                            .filter(each -> each.holds(which))
                            .findFirst()
                            .ifPresent(holding -> cause(holding, which));
                    next(plan == Plan.ALL ? 100 + world.random().nextInt(1_500) : 2_200);
                });
    }

    private void cause(Member holding, int which) {
        LeaseHolder holder = holding.holders.get(which);
        switch (plan == Plan.ALL ? world.random().nextInt(6) : 0) {
            case 0 -> {
                List<Integer> held =
                        IntStream.range(0, NAMES.length).filter(holding::holds).boxed().toList();
                if (world.crash(holding.id, 500 + world.random().nextInt(1_000))) {
                    held.forEach(
                            each -> {
                                killed.put(each, world.nowNanos());
                                killedToken.put(each, holding.holders.get(each).token());
                            });
                }
            }
            case 1 -> world.pause(holding.id, (int) (3 * SHORT / MILLI));
            case 2 -> world.pause(holding.id, world.random().nextInt((int) (2 * SHORT / MILLI)));
            case 3 -> {
                holder.transfer(0);
                wantAgain(holding, holder);
            }
            case 4 -> {
                // Who waits is stopped when its turn comes, and hears of it when it has lapsed.
                members.values().stream()
                        .filter(
                                each ->
                                        each.holders.get(which).phase()
                                                == LeaseHolder.Phase.WAITING)
                        .forEach(
                                each ->
                                        world.pause(
                                                each.id,
                                                (int) (2 * SHORT / MILLI)
                                                        + world.random().nextInt(500)));
                holder.transfer(0);
                wantAgain(holding, holder);
            }
            default -> {
                holder.release();
                wantAgain(holding, holder);
            }
        }
    }

    private void wantAgain(Member member, LeaseHolder holder) {
        world.schedule(
                world.nowNanos() + world.random().nextInt(500) * MILLI,
                () -> {
                    if (!resting && members.get(member.id) == member) {
                        holder.acquire();
                    }
                });
    }

    // ---- Judgement
    // ------------------------------------------------------------------------------------
    /** It is granted in the log: whoever held before must know by now, by its own clock. */
    private void granted(CommandEffects effects) {
        for (CommandEffects.Event each : effects.events()) {
            if (LeaseEvent.decode(each) instanceof LeaseEvent.Granted granted) {
                int which = granted.name().equals(NAMES[0]) ? 0 : 1;
                members.values().stream()
                        .filter(member -> member.holds(which))
                        .forEach(
                                member ->
                                        judge(
                                                false,
                                                "member "
                                                        + member.id
                                                        + " believes to hold "
                                                        + granted.name()
                                                        + " when it is granted under token "
                                                        + granted.token()));
            } else if (LeaseEvent.decode(each) instanceof LeaseEvent.ActionPerformed act) {
                did(act.name(), act.token());
            }
        }
    }

    private void resource(String lease, long token) {
        if (fence.admit(lease, token).isPresent()) {
            refused++;
            return;
        }
        accepted++;
        judge(
                token >= atResource.getOrDefault(lease, 0L),
                "the resource takes an act of "
                        + lease
                        + " under token "
                        + token
                        + " after one under "
                        + atResource.get(lease));
        atResource.put(lease, token);
        did(lease, token);
    }

    private void did(String lease, long token) {
        int which = lease.equals(NAMES[0]) ? 0 : 1;
        if (killed.containsKey(which) && token > killedToken.get(which)) {
            handOvers.add((double) (world.nowNanos() - killed.remove(which)) / ttl(lease));
        }
    }

    private void judge(boolean holds, String otherwise) {
        if (!holds && fault.isEmpty()) {
            fault = otherwise;
        }
    }

    @Override
    public String violation() {
        judge(book.fault().isEmpty(), book.fault());
        for (int which = 0; which < NAMES.length && fault.isEmpty(); which++) {
            Member holding = null;
            for (Member each : members.values()) {
                if (each.holds(which)) {
                    judge(
                            holding == null,
                            "members "
                                    + (holding == null ? 0 : holding.id)
                                    + " and "
                                    + each.id
                                    + " believe to hold "
                                    + NAMES[which]);
                    holding = each;
                }
            }
        }
        return fault;
    }

    @Override
    public String finalViolation() {
        return accepted == 0 ? "nobody acted" : "";
    }
}
