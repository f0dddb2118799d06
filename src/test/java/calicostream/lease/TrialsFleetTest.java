// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.QueryRouter.Engine;
import calicostream.QueryRouter.EngineState;
import calicostream.QueryRouter.Outcome;
import calicostream.SettingsParser;
import calicostream.core.Clock;
import calicostream.core.Deadlines;
import calicostream.core.Engines;
import calicostream.core.Front;
import calicostream.core.Gateway;
import calicostream.core.Watcher;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Twenty front ends with the module as it is, an engine that is down for a minute, and hints or none; in virtual time. */
class TrialsFleetTest {
    private static final long SEED = 25;
    private static final int FLEET = 20;
    private static final long DOWN = 3;
    private static final long MILLI = 1_000;
    private static final long BACK_AT = 60_000 * MILLI;
    private static final long END = 75_000 * MILLI;
    private static final long NEWS = 30 * MILLI;
    private static final String SETTINGS = "lanes.count=1\nlanes.0.name=look\nlanes.0.effect=repeatable\n"
            + "lanes.0.aim_us=800000\nlanes.0.deadline_us=4000000\nfamily_info.kind_cores=12\n"
            + "family_info.kind_memory_mb=24576\nceilings.max_attempts=3\nceilings.cancel=true\ntick_us=5000\n"
            + "family_info.holds_tables=false\nfamily_info.waits_for_loads=true\n"
            + "family_info.width_by_class=1\nrules.cold_share=0.3\nrules.overload_factor=4\n"
            + "rules.fall_us=2000000\nrules.warm_up_us=14000000\n";

    private final class Process implements Engines, Trials.FrontEnd, Front {
        final Deadlines deadlines = new Deadlines();
        final Gateway gateway = new Gateway(new Clock() {
            @Override
            public long now() {
                return time;
            }
        }, deadlines, SettingsParser.ofLines(SETTINGS).settings(), Watcher.NONE);
        final ArrayDeque<Gateway.Attempt> sent = new ArrayDeque<>();
        final Trials trials = new Trials(this);
        boolean used;

        Process() {
            gateway.start(this, IntStream.rangeClosed(1, 6).mapToObj(id -> new Engine(id, 0, 0, 0, 0, EngineState.READY)).toList());
        }

        void turn() {
            deadlines.run(time);
            gateway.accept(this, time, "q", 0, random.nextInt(8), 1_000_000, new byte[0]);
            for (Gateway.Attempt each = sent.poll(); each != null; each = sent.poll()) {
                boolean fails = each.engine == DOWN && time < BACK_AT;
                trialsMade += fails ? 1 : 0;
                if (each.engine == DOWN && !fails && !used) {
                    used = true;
                    backAfter.add(time - BACK_AT);
                }
                gateway.ended(each, fails ? Outcome.CONNECT_FAILED : Outcome.OK, null, new byte[0]);
            }
        }

        @Override
        public Trials.View view() {
            return new Trials.View(gateway.ready(true), gateway.ready(false));
        }

        @Override
        public void hinted(long engine, boolean served) {
            gateway.hinted(engine, served);
        }

        @Override
        public void attach(Gateway to) { }

        @Override
        public void locate(long engine, InetSocketAddress address) { }

        @Override
        public void send(Gateway.Attempt attempt) {
            sent.add(attempt);
        }

        @Override
        public void stop(Gateway.Attempt attempt) { }

        @Override
        public void priority(Gateway.Attempt attempt) { }

        @Override
        public void withdrawn(long engine) { }

        @Override
        public void renewed(long engine) { }

        @Override
        public void gone(long engine) { }

        @Override
        public void served(long tag, Object result) { }

        @Override
        public void begun(long tag, Object stream) { }

        @Override
        public void concluded(long tag, Object word) { }

        @Override
        public void refused(long tag, long retryAfterMs) { }

        @Override
        public void failed(long tag, Failure why) { }
    }

    private record Word(long at, byte[] payload) { }

    private final Random random = new Random(SEED);
    private final List<Long> backAfter = new ArrayList<>();
    private long time = 1_000_000;
    private int trialsMade;

    /** @param holder of the lease; -1: nobody, the fleet without a cluster; @param diesAt its words end then */
    private void run(int holder, long diesAt) {
        List<Process> fleet = IntStream.range(0, FLEET).mapToObj(i -> new Process()).toList();
        ArrayDeque<Word> words = new ArrayDeque<>();
        Holder held = new Holder(Trials.LEASE, 3_600_000_000_000L, 0);
        held.want();
        held.answered(0, held.next(0).number(), new LeaseAnswer.Holds(4));
        Acts acts = new Acts(held, () -> 0, "lease", (machine, body, done) ->
                words.add(new Word(time, ((LeaseCommand.Act) LeaseCommand.decode(body)).payload())));
        if (holder >= 0) {
            fleet.get(holder).trials.started(acts);
        }
        for (; time < END; time += 20 * MILLI) {
            fleet.forEach(Process::turn);
            if (holder >= 0 && time < diesAt) {
                fleet.get(holder).trials.step(acts, time * 1000);
            }
            while (!words.isEmpty() && time - words.peek().at >= NEWS) {
                byte[] word = words.poll().payload;
                fleet.forEach(each -> each.trials.heard(4, word, time * 1000));
            }
        }
    }

    private static TrialsFleetTest of(int holder, long diesAt) {
        TrialsFleetTest made = new TrialsFleetTest();
        made.run(holder, diesAt);
        return made;
    }

    @Test
    void oneTriesForAllAndWhoHearsNothingTriesForItself() {
        TrialsFleetTest alone = of(-1, 0);
        TrialsFleetTest led = of(4, END);
        TrialsFleetTest left = of(4, 30_000 * MILLI);
        long aloneBack = alone.backAfter.stream().mapToLong(each -> each).max().orElseThrow();
        long ledBack = led.backAfter.stream().mapToLong(each -> each).max().orElseThrow();
        System.out.println("seed " + SEED + ": sent to the engine that is down " + alone.trialsMade + " alone, " + led.trialsMade
                + " with hints, " + left.trialsMade + " with hints for half the time; all back after " + aloneBack / MILLI + " ms, "
                + ledBack / MILLI + " ms");
        assertTrue(led.trialsMade * 3 <= alone.trialsMade, led.trialsMade + " of " + alone.trialsMade);
        assertTrue(led.backAfter.size() == FLEET && alone.backAfter.size() == FLEET && left.backAfter.size() == FLEET, "all used it again");
        assertTrue(left.trialsMade > led.trialsMade, "who hears no more tries for itself");
    }
}
