// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.FaultyDisk.PowerCut;
import calicostream.durable.TrialOutcome.Verdict;

/** Trials of a crash at one disk call each. Seed, call and kind give the same trial every time. */
final class CrashTrials {
    private static final int STEPS = 120;
    private static final int STEPS_AFTER_RECOVERY = 20;
    private static final int MAX_INTERRUPTED_OPENINGS = 3;
    private static final int MAX_CALLS_TO_NEXT_CRASH = 14;

    private CrashTrials() {}

    /** Kinds of crashes. */
    enum CrashKind {
        POWER_CUT_KEEPING_NOTHING,
        POWER_CUT_KEEPING_ALL,
        POWER_CUT_KEEPING_RANDOM_PART,
        /** The process dies and the system lives. */
        PROCESS_KILL;

        private static final CrashKind[] KINDS = values();

        /** The kinds in turn. */
        static CrashKind ofNumber(int number) {
            return KINDS[number % KINDS.length];
        }

        private void crash(CrashScenario scenario) {
            switch (this) {
                case POWER_CUT_KEEPING_NOTHING -> scenario.cutPower(PowerCut.KEEPS_NOTHING);
                case POWER_CUT_KEEPING_ALL -> scenario.cutPower(PowerCut.KEEPS_ALL);
                case POWER_CUT_KEEPING_RANDOM_PART -> scenario.cutPower(PowerCut.KEEPS_RANDOM_PART);
                case PROCESS_KILL -> scenario.killProcess();
                default -> throw new IllegalStateException(name());
            }
        }
    }

    /** How many disk calls the scenario of a seed makes without a crash. */
    static int countDiskCalls(long seed) throws DurableException {
        CrashScenario scenario = new CrashScenario(seed);
        scenario.open();
        scenario.performRandomSteps(STEPS);
        return scenario.machine.callCount;
    }

    /** Crashes at a disk call, opens the log again and checks it. */
    static TrialOutcome run(long seed, int crashAtCall, CrashKind kind) throws DurableException {
        String description = "seed " + seed + " call " + crashAtCall + " kind " + kind + ": ";
        CrashScenario scenario = new CrashScenario(seed);
        scenario.machine.crashAtCall = crashAtCall;
        try {
            scenario.open();
            scenario.performRandomSteps(STEPS);
        } catch (FaultyDisk.SimulatedCrash crash) {
            // As intended; a scenario that has ended before is crashed at its end.
        }
        try {
            openAfterCrashes(scenario, kind);
        } catch (DurableException e) {
            return new TrialOutcome(Verdict.FALSE_ALARM, description + e);
        }
        return checkThroughNextCrash(scenario, description);
    }

    /** The first openings are interrupted by a crash of the same kind. */
    private static void openAfterCrashes(CrashScenario scenario, CrashKind kind)
            throws DurableException {
        FaultyDisk.SimulatedMachine machine = scenario.machine;
        boolean isOpen = false;
        for (int attempt = 1; !isOpen; attempt++) {
            kind.crash(scenario);
            machine.crashAtCall = -1;
            if (attempt <= MAX_INTERRUPTED_OPENINGS) {
                machine.crashAtCall =
                        machine.callCount + 1 + machine.random.nextInt(MAX_CALLS_TO_NEXT_CRASH);
            }
            try {
                scenario.open();
                isOpen = true;
            } catch (FaultyDisk.SimulatedCrash crash) {
                // The next attempt follows.
            }
        }
        machine.crashAtCall = -1;
    }

    private static TrialOutcome checkThroughNextCrash(CrashScenario scenario, String description)
            throws DurableException {
        TrialOutcome outcome = checkIntact(scenario, description);
        if (outcome.verdict() != Verdict.INTACT) {
            return outcome;
        }
        // What was found by an opening counts as synced: the power is cut at once.
        scenario.resumeFrom(scenario.matchingState(false));
        scenario.cutPower(PowerCut.KEEPS_NOTHING);
        scenario.open();
        outcome = checkIntact(scenario, description + "power cut after the opening, ");
        if (outcome.verdict() != Verdict.INTACT) {
            return outcome;
        }
        scenario.resumeFrom(scenario.matchingState(false));
        scenario.performRandomSteps(STEPS_AFTER_RECOVERY);
        scenario.close();
        scenario.open();
        return checkIntact(scenario, description + "later, ");
    }

    private static TrialOutcome checkIntact(CrashScenario scenario, String description) {
        StateLossDetector.LocalState local = scenario.durableLog.recoveredState().localState();
        if (local.stateLoss() != StateLossDetector.StateLoss.NONE) {
            return new TrialOutcome(Verdict.FALSE_ALARM, description + local);
        }
        if (local.votingStatus() == StateLossDetector.VotingStatus.ADMITTED
                && scenario.assess().verdict() != RecoveryVerdict.VOTER) {
            return new TrialOutcome(Verdict.FALSE_ALARM, description + scenario.assess());
        }
        if (scenario.matchingState(false) != null) {
            return new TrialOutcome(Verdict.INTACT, description);
        }
        return mismatch(scenario, description);
    }

    /** The outcome for a log that has none of the states that may be found. */
    static TrialOutcome mismatch(CrashScenario scenario, String description) {
        return new TrialOutcome(
                scenario.wasAcknowledged() ? Verdict.LOST : Verdict.FABRICATED,
                description + scenario.mismatch());
    }
}
