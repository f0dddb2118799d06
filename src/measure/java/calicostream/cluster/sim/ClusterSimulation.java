// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import calicostream.cluster.ClusterException;
import calicostream.cluster.raft.Voter;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * One deterministic simulation of a whole cluster: voters, spare processes, members, links, disks
 * and clocks in one thread, from one seed. It puts the parts together and runs the phases: faults,
 * healing, settling, final checks.
 */
final class ClusterSimulation {
    /** Faults are drawn for so long. */
    static final int FAULT_MILLIS = 6_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int HEAL_AT_MILLIS = 6_500;
    private static final int STOP_LOAD_AT_MILLIS = 8_000;
    private static final int FIRST_SETTLED_CHECK_MILLIS = 9_000;
    private static final int SETTLED_CHECK_PERIOD_MILLIS = 500;
    private static final int MAX_MILLIS = 20_000;
    private static final int PROCESSES_BESIDE_VOTERS = 4;
    private static final int SPARE_VOTERS = 2;

    /**
     * The result of a run.
     *
     * @param failure the first failed check; empty if all held
     * @param hash of everything that happened
     * @param steps events that were run
     * @param faults injected faults by kind
     */
    record Result(
            long seed,
            String failure,
            long hash,
            long steps,
            Map<FaultSchedule.FaultKind, Integer> faults,
            SimulationCounters.Counts counts) {
        boolean isFailed() {
            return !failure.isEmpty();
        }
    }

    private final long seed;
    private final Set<Safeguard> disabled;
    private final SimulationExtension extension;
    private final SimulatedWorld world;
    private final SimulatedNetwork network;
    private final SimulationCounters counters = new SimulationCounters();
    private final ClusterInvariants invariants;
    private final ClusterWorkload workload;
    private final VoterChangeDriver voterChanges;
    private final FaultInjector faultInjector;
    private final List<SimulatedMember> members = new ArrayList<>();
    private final List<Voter> initialVoters = new ArrayList<>();
    private final List<Integer> voterNumbers = new ArrayList<>();
    private final Map<Long, Long> attemptsBySession = new HashMap<>();

    private ClusterSimulation(long seed, Set<Safeguard> disabled, SimulationExtension extension) {
        this.seed = seed;
        this.disabled = disabled;
        this.extension = extension;
        this.world = new SimulatedWorld(seed);
        int voters = world.random.nextInt(3) == 0 ? 5 : 3;
        int processes = voters + PROCESSES_BESIDE_VOTERS;
        HistoryChecker history = new HistoryChecker();
        this.network = new SimulatedNetwork(world, members, processes);
        this.invariants = new ClusterInvariants(this, history);
        this.workload = new ClusterWorkload(this, history);
        this.voterChanges = new VoterChangeDriver(this);
        this.faultInjector = new FaultInjector(this);
        for (int number = 1; number <= processes; number++) {
            SimulatedMember member = new SimulatedMember(this, number);
            members.add(member);
            if (number <= voters) {
                initialVoters.add(member.name());
                member.enableVoter();
            }
            if (number <= voters + SPARE_VOTERS) {
                voterNumbers.add(number);
            }
        }
    }

    static Set<Safeguard> allSafeguards() {
        return EnumSet.noneOf(Safeguard.class);
    }

    /**
     * Runs a seed with the faults that it draws.
     *
     * @param disabled the safeguards to take out
     */
    static Result run(long seed, Set<Safeguard> disabled) {
        return run(seed, disabled, FaultSchedule.draw(seed, FAULT_MILLIS));
    }

    /** Runs a seed with the given faults. */
    static Result run(long seed, Set<Safeguard> disabled, List<FaultSchedule.Fault> faults) {
        return run(seed, disabled, faults, SimulationExtension.NONE);
    }

    /** Runs a seed with an extension, which may inject faults of its own. */
    static Result run(
            long seed,
            Set<Safeguard> disabled,
            List<FaultSchedule.Fault> faults,
            SimulationExtension extension) {
        return new ClusterSimulation(seed, disabled, extension).run(faults);
    }

    /** Removes the faults that a failure does not need. */
    static List<FaultSchedule.Fault> minimize(
            long seed, Set<Safeguard> disabled, List<FaultSchedule.Fault> faults) {
        List<FaultSchedule.Fault> needed = new ArrayList<>(faults);
        for (int part = Math.max(1, needed.size() / 2); part >= 1; part /= 2) {
            int at = 0;
            while (at < needed.size()) {
                List<FaultSchedule.Fault> fewer = new ArrayList<>(needed);
                fewer.subList(at, Math.min(needed.size(), at + part)).clear();
                if (run(seed, disabled, fewer).isFailed()) {
                    needed = fewer;
                } else {
                    at += part;
                }
            }
        }
        return needed;
    }

    private Result run(List<FaultSchedule.Fault> faults) {
        String failure = "";
        try {
            runPhases(faults);
        } catch (InvariantViolation
                | IllegalArgumentException
                | IllegalStateException
                | ClusterException
                | AssertionError e) {
            failure = "at " + world.now() / NANOS_PER_MILLI + " ms: " + e;
            printIfRequested(e);
        }
        return new Result(
                seed,
                failure,
                world.hash(),
                world.steps,
                counters.faults(),
                counters.counts(invariants.terms(), invariants.expiredSessions()));
    }

    private void runPhases(List<FaultSchedule.Fault> faults) {
        extension.started(new Control());
        members.forEach(SimulatedMember::start);
        for (FaultSchedule.Fault fault : faults) {
            world.schedule(fault.atMillis() * NANOS_PER_MILLI, () -> faultInjector.inject(fault));
        }
        runUntil(HEAL_AT_MILLIS);
        faultInjector.healAll();
        runUntil(STOP_LOAD_AT_MILLIS);
        workload.stop();
        extension.stopLoad();
        for (int until = FIRST_SETTLED_CHECK_MILLIS;
                until <= MAX_MILLIS && !isSettled();
                until += SETTLED_CHECK_PERIOD_MILLIS) {
            runUntil(until);
        }
        invariants.checkAtEnd();
    }

    private void runUntil(long millis) {
        world.run(millis * NANOS_PER_MILLI, invariants::checkAfterEvent);
    }

    private void printIfRequested(Throwable failure) {
        if (System.getProperty("sim.stack") != null) {
            failure.printStackTrace();
            members.forEach(each -> System.out.println(each.name() + " " + each.voter()));
        }
    }

    private boolean isSettled() {
        return leader().isPresent() && members.stream().allMatch(this::isSettled);
    }

    /** Whether a member has a session and nothing to wait for. */
    boolean isSettled(SimulatedMember member) {
        return member.session() != null
                && member.session().pendingCommands() == 0
                && member.session().sessionId() != 0;
    }

    SimulatedWorld world() {
        return world;
    }

    SimulatedNetwork network() {
        return network;
    }

    SimulationExtension extension() {
        return extension;
    }

    SimulationCounters counters() {
        return counters;
    }

    ClusterInvariants invariants() {
        return invariants;
    }

    ClusterWorkload workload() {
        return workload;
    }

    VoterChangeDriver voterChanges() {
        return voterChanges;
    }

    boolean isDisabled(Safeguard safeguard) {
        return disabled.contains(safeguard);
    }

    boolean hasAllSafeguards() {
        return disabled.isEmpty();
    }

    /** All members, by number. */
    List<SimulatedMember> members() {
        return Collections.unmodifiableList(members);
    }

    SimulatedMember member(int number) {
        return members.get(number - 1);
    }

    SimulatedMember pickMember(int pick) {
        return members.get(pick % members.size());
    }

    /** One of the voters and spare voters. */
    SimulatedMember pickVoter(int pick) {
        return members.get(pick % voterNumbers.size());
    }

    Optional<SimulatedMember> leader() {
        return members.stream().filter(SimulatedMember::isLeader).findFirst();
    }

    List<Voter> initialVoters() {
        return initialVoters;
    }

    /** The members that run a voter or may get one. */
    List<Integer> voterNumbers() {
        return voterNumbers;
    }

    /**
     * Counts the attempts of a session's commands, for {@link Safeguard#COMMAND_SEQUENCE_NUMBERS}.
     */
    long nextAttemptNumber(long session) {
        return attemptsBySession.merge(session, 1L, Long::sum);
    }

    /** What an extension may do. */
    private final class Control implements SimulationExtension.SimulationControl {
        @Override
        public long nowNanos() {
            return world.now();
        }

        @Override
        public Random random() {
            return world.random;
        }

        @Override
        public int members() {
            return members.size();
        }

        @Override
        public void schedule(long time, Runnable task) {
            world.schedule(time, task);
        }

        @Override
        public boolean isUp(int member) {
            return !member(member).isDown();
        }

        @Override
        public boolean crash(int member, int afterMillis) {
            SimulatedMember target = member(member);
            boolean isPossible = !target.isDown() && faultInjector.isAllowed();
            if (isPossible) {
                target.crash();
                target.restartAfter(afterMillis);
            }
            return isPossible;
        }

        @Override
        public void pause(int member, int millis) {
            if (faultInjector.isAllowed()) {
                member(member).process().pausedUntil = world.now() + millis * NANOS_PER_MILLI;
            }
        }
    }
}
