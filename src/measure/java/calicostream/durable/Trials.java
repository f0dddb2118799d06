// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.util.List;
import java.util.Random;

/**
 * One trial each: a crash at a disk call, a lie, a fault. A seed, a place and a kind give the same
 * trial each time.
 */
final class Trials {

    private static final int STEPS = 120;

    enum End {
        INTACT,
        NOTICED,
        FALSE_ALARM,
        LOST,
        INVENTED
    }

    record Outcome(End end, String what) {}

    enum Lie {
        LOG_SYNC_LOST,
        MARKS_SYNC_LOST,
        BOTH_SYNC_LOST,
        LOG_OLDER,
        MARKS_OLDER,
        BOTH_OLDER,
        LOG_EMPTY,
        MARKS_EMPTY,
        BOTH_EMPTY,
        LOG_FOREIGN,
        MARKS_FOREIGN,
        LOG_ROT,
        MARKS_ROT,
        SNAPSHOT_ROT,
        SEGMENT_GONE,
        SEGMENT_OLDER,
        SNAPSHOT_GONE,
        LOG_BRANCHED,
        SEGMENT_BRANCHED,
        BOTH_OLDER_APART
    }

    private Trials() {}

    /** How many disk calls a whole play has. */
    static int calls(long seed) throws DurableException {
        Play play = new Play(seed);
        play.open();
        play.act(STEPS);
        return play.power.calls;
    }

    /**
     * Kinds 0 to 2 are power cuts ({@link FaultyDisk#cut}), 3 is a killed process on a system that
     * lives.
     */
    static Outcome crash(long seed, int at, int kind) throws DurableException {
        String what = "seed " + seed + " call " + at + " kind " + kind + ": ";
        Play play = new Play(seed);
        play.power.crashAt = at;
        try {
            play.open();
            play.act(STEPS);
        } catch (FaultyDisk.Crash crash) {
            // Wanted.
        }
        // Each opening is cut once more on its way, up to one that gets through.
        for (int again = 1; ; again++) {
            if (kind == 3) play.killed();
            else play.cut(kind);
            play.power.crashAt =
                    again <= 3 ? play.power.calls + 1 + play.power.random.nextInt(14) : -1;
            try {
                play.open();
                break;
            } catch (FaultyDisk.Crash crash) {
                // Again.
            } catch (DurableException e) {
                return new Outcome(End.FALSE_ALARM, what + e);
            }
        }
        play.power.crashAt = -1;
        Outcome first = honest(play, what);
        if (first.end() != End.INTACT) return first;
        // What an opening found is as good as synced: the power goes at once.
        play.goOn(play.found(false));
        play.cut(0);
        play.open();
        Outcome second = honest(play, what + "power cut after the opening, ");
        if (second.end() != End.INTACT) return second;
        play.goOn(play.found(false));
        play.act(20);
        play.close();
        play.open();
        return honest(play, what + "later, ");
    }

    private static Outcome honest(Play play, String what) {
        StateLossDetector.Own own = play.durable.recovered().own();
        if (own.doubt() != StateLossDetector.Doubt.NONE)
            return new Outcome(End.FALSE_ALARM, what + own);
        if (own.standing() == StateLossDetector.Standing.ADMITTED
                && play.judge().verdict() != RecoveryVerdict.VOTER)
            return new Outcome(End.FALSE_ALARM, what + play.judge());
        if (play.found(false) != null) return new Outcome(End.INTACT, what);
        return wrong(play, what);
    }

    private static Outcome wrong(Play play, String what) {
        return new Outcome(
                play.wasPromised() ? End.LOST : End.INVENTED,
                what + play.durable.recovered() + " is none of " + play.since);
    }

    /** Tells the lie to a member in the middle of its work and opens it again. */
    static Outcome lie(long seed, Lie lie) throws DurableException {
        String what = "seed " + seed + " " + lie + ": ";
        Play play = new Play(seed);
        play.open();
        Random random = new Random(seed * 17 + lie.ordinal());
        play.act(20 + random.nextInt(60));
        if (random.nextBoolean()) {
            play.close();
            play.open();
            play.goOn(play.found(false));
            play.act(random.nextInt(20));
        }
        play.durable.sync();
        play.promisedAll();
        FaultyDisk log = play.log.copy();
        FaultyDisk marks = play.marks.copy();
        Play branch = null;
        if (lie == Lie.LOG_BRANCHED || lie == Lie.SEGMENT_BRANCHED) {
            // Both go on from one opening, so that numbers and incarnations are the same.
            play.close();
            branch = branch(play, random);
            play.open();
            play.goOn(play.found(false));
        }
        boolean log0 = lie == Lie.LOG_SYNC_LOST || lie == Lie.BOTH_SYNC_LOST;
        boolean marks0 = lie == Lie.MARKS_SYNC_LOST || lie == Lie.BOTH_SYNC_LOST;
        play.log.losing = log0;
        play.marks.losing = marks0;
        play.act(5 + random.nextInt(60));
        play.durable.sync();
        play.promisedAll();
        if (lie == Lie.BOTH_OLDER_APART) {
            // The copy of the log is later than that of the marks.
            log = play.log.copy();
            play.act(20);
            play.durable.sync();
            play.promisedAll();
        }
        // Where one place alone lies, the other has to tell: peers say nothing.
        if (lie != Lie.BOTH_SYNC_LOST && lie != Lie.BOTH_OLDER && lie != Lie.BOTH_EMPTY)
            play.seen = StateLossDetector.Seen.NOTHING;
        if (log0 || marks0) play.cut(0);
        else play.killed();
        tell(play, lie, log, marks, branch, random);
        try {
            play.open();
        } catch (DurableException e) {
            return back(play, lie, new Outcome(End.NOTICED, what + e.code()));
        }
        if (play.judge().verdict() != RecoveryVerdict.VOTER)
            return back(play, lie, new Outcome(End.NOTICED, what + play.judge().reason()));
        return play.found(true) != null ? new Outcome(End.INTACT, what) : wrong(play, what);
    }

    /** A copy of the member that goes on elsewhere, under its name. */
    private static Play branch(Play play, Random random) throws DurableException {
        Play branch = new Play(random.nextLong());
        branch.log.restore(play.log);
        branch.marks.restore(play.marks);
        branch.open();
        branch.goOn(play.promised.get(play.promised.size() - 1));
        branch.act(60 + random.nextInt(60));
        branch.close();
        return branch;
    }

    private static void tell(
            Play play, Lie lie, FaultyDisk log, FaultyDisk marks, Play branch, Random random)
            throws DurableException {
        FaultyDisk empty = new FaultyDisk("empty", play.power);
        switch (lie) {
            case LOG_SYNC_LOST, MARKS_SYNC_LOST, BOTH_SYNC_LOST -> {}
            case LOG_OLDER -> play.log.restore(log);
            case MARKS_OLDER -> play.marks.restore(marks);
            case BOTH_OLDER, BOTH_OLDER_APART -> {
                play.log.restore(log);
                play.marks.restore(marks);
            }
            case LOG_EMPTY -> play.log.restore(empty);
            case MARKS_EMPTY -> play.marks.restore(empty);
            case BOTH_EMPTY -> {
                play.log.restore(empty);
                play.marks.restore(empty);
            }
            case LOG_FOREIGN, MARKS_FOREIGN -> {
                FaultyDisk theirs = new FaultyDisk("z", play.power);
                FaultyDisk theirMarks = new FaultyDisk("z", play.power);
                DurableLog.open(
                                theirs,
                                theirMarks,
                                new LogIdentity("site", "z"),
                                LogOptions.DEFAULT)
                        .close();
                if (lie == Lie.LOG_FOREIGN) play.log.restore(theirs);
                else play.marks.restore(theirMarks);
            }
            case LOG_ROT -> play.log.rot(SegmentNames.LOG, random);
            case MARKS_ROT -> play.marks.rot(SegmentNames.MARK, random);
            case SNAPSHOT_ROT -> play.log.rot(SegmentNames.SNAPSHOT, random);
            case SEGMENT_GONE -> {
                List<String> files = SegmentNames.of(SegmentNames.LOG, play.log.files());
                play.log.remove(files.get(random.nextInt(files.size())));
            }
            case SEGMENT_OLDER -> {
                // The one that was being written when the copy was made.
                List<String> files = SegmentNames.of(SegmentNames.LOG, log.files());
                String name = files.get(files.size() - 1);
                if (play.log.files().contains(name)) play.log.put(name, log.bytes(name));
            }
            case LOG_BRANCHED -> play.log.restore(branch.log);
            case SEGMENT_BRANCHED -> {
                List<String> files =
                        SegmentNames.of(SegmentNames.LOG, play.log.files()).stream()
                                .filter(branch.log.files()::contains)
                                .toList();
                String name =
                        files.isEmpty()
                                ? null
                                : files.get(Math.max(0, files.size() - 1 - random.nextInt(3)));
                if (name != null) play.log.put(name, branch.log.bytes(name));
            }
            case SNAPSHOT_GONE -> {
                List<String> files = SegmentNames.of(SegmentNames.SNAPSHOT, play.log.files());
                if (!files.isEmpty()) play.log.remove(files.get(random.nextInt(files.size())));
            }
        }
    }

    /**
     * What was noticed stays so over starts, and the way back leads to a voter, but for a folder
     * that is not ours.
     */
    private static Outcome back(Play play, Lie lie, Outcome noticed) throws DurableException {
        boolean foreign = lie == Lie.LOG_FOREIGN || lie == Lie.MARKS_FOREIGN;
        play.killed();
        boolean opened = true;
        try {
            play.durable =
                    DurableLog.open(play.log, play.marks, Play.WHO, Play.options(play.power));
            if (play.judge().verdict() == RecoveryVerdict.VOTER)
                return new Outcome(End.LOST, noticed.what() + ", and forgotten at the next start");
            if (play.durable.recovered().own().standing() != StateLossDetector.Standing.FRESH
                    && play.judge().verdict() == RecoveryVerdict.LEARNER)
                play.durable.bar("peers say so");
        } catch (DurableException e) {
            opened = false;
        }
        if (foreign)
            return opened
                    ? new Outcome(End.LOST, noticed.what() + ", and opened at the next start")
                    : noticed;
        play.killed();
        play.durable =
                DurableLog.open(
                        play.log, play.marks, Play.WHO, Play.options(play.power).startingOver());
        if (play.judge().verdict() != RecoveryVerdict.LEARNER)
            return new Outcome(End.LOST, noticed.what() + ", and a voter once started over");
        play.durable.appendEntry(1, 1, new byte[3]);
        play.durable.admit();
        play.durable.close();
        play.seen = StateLossDetector.Seen.NOTHING;
        play.durable = DurableLog.open(play.log, play.marks, Play.WHO, Play.options(play.power));
        if (play.judge().verdict() != RecoveryVerdict.VOTER
                || play.durable.recovered().lastIndex() != 1)
            return new Outcome(
                    End.FALSE_ALARM, noticed.what() + ", admitted anew and then " + play.judge());
        return noticed;
    }
}
