// SPDX-License-Identifier: Apache-2.0
package calicostream.mass;

import calicostream.discovery.WatchBackoff;
import calicostream.routing.EngineEndpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The one source of the list: numbered changes that reach each front end late, at times twice or
 * before an older one, and not at all while the source is away; a front end that has lost it asks
 * again as {@link WatchBackoff} says.
 */
final class SimulatedDiscovery {
    private static final double TWICE = 0.2;
    private static final long CALL = 1_000; // us for a call to be answered or refused

    private record Change(long seq, EngineEndpoint entry) {}

    /** A front end's side: like the daemon's, it passes over what it has seen. */
    final class Reader {
        private final WatchBackoff asking;
        private final Consumer<List<EngineEndpoint>> to;
        private long seen = changes.size();
        private boolean following = true;
        private boolean closed;

        private Reader(long seed, Consumer<List<EngineEndpoint>> to) {
            asking = new WatchBackoff(seed);
            this.to = to;
            asking.responseStarted();
        }

        void close() {
            closed = true;
        }

        private void lost() {
            following = false;
            time.after(asking.nextRequestAt(time.now()) - time.now(), this::ask);
        }

        private void ask() {
            if (closed) {
                return;
            }
            asking.requestStarted(time.now());
            calls.add(time.now());
            time.after(
                    CALL,
                    () -> {
                        if (away) {
                            lost();
                        } else {
                            following = true;
                            asking.responseStarted();
                            List.copyOf(changes.subList((int) seen, changes.size()))
                                    .forEach(this::take);
                        }
                    });
        }

        private void take(Change change) {
            if (following && !closed && change.seq > seen) {
                List<EngineEndpoint> missed =
                        changes.subList((int) seen, (int) change.seq).stream()
                                .map(Change::entry)
                                .toList();
                seen = change.seq; // One that overtook others was asked for again, with what lies
                // between.
                to.accept(missed);
            }
        }
    }

    private final FleetClock time;
    private final SplittableRandom random;
    private final long lateUs;
    private final List<Change> changes = new ArrayList<>();
    private final List<Reader> readers = new ArrayList<>();
    private final List<Long> calls = new ArrayList<>();
    private boolean away;

    /** Changes come up to so late; 0: at once and in order. */
    SimulatedDiscovery(FleetClock time, SplittableRandom random, long lateUs) {
        this.time = time;
        this.random = random;
        this.lateUs = lateUs;
    }

    Reader follow(long seed, Consumer<List<EngineEndpoint>> to) {
        Reader reader = new Reader(seed, to);
        readers.add(reader);
        return reader;
    }

    void tell(EngineEndpoint entry) {
        Change change = new Change(changes.size() + 1, entry);
        changes.add(change);
        readers.removeIf(r -> r.closed);
        for (Reader reader : List.copyOf(readers)) {
            if (lateUs == 0) {
                reader.take(change);
            } else if (!away) {
                for (int i = random.nextDouble() < TWICE ? 2 : 1; i > 0; i--) {
                    time.after(random.nextLong(lateUs), () -> reader.take(change));
                }
            }
        }
    }

    /** It refuses all for so long. */
    void leave(long us) {
        away = true;
        readers.forEach(Reader::lost);
        time.after(us, () -> away = false);
    }

    /** Calls in the busiest second against the mean one of those in which any were made. */
    double busiestSecond() {
        long[] seconds = calls.stream().mapToLong(at -> at / 1_000_000).distinct().toArray();
        long most = 0;
        for (long each : seconds) {
            most = Math.max(most, calls.stream().filter(at -> at / 1_000_000 == each).count());
        }
        return most * (double) seconds.length / Math.max(1, calls.size());
    }
}
