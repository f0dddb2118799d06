// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.core.Attempt;
import calicostream.core.AttemptContext;
import calicostream.core.EngineClient;
import calicostream.core.Gateway;
import calicostream.core.TextResult;
import calicostream.net.Connection;
import calicostream.net.InvalidInputException;
import calicostream.net.SelectorLoop;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.LoadReport;
import calicostream.routing.ProgressKind;
import calicostream.routing.SettingsParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The engine side of the platform: RESP over a few reused connections to each engine. */
public final class RespEngineClient implements EngineClient {
    private static final Logger LOG = LoggerFactory.getLogger(RespEngineClient.class);
    private static final int BOUND = 128 * 1024;
    private static final int MOST_CONNECTIONS =
            32; // to one engine: more than the attempts that it gets
    private static final int SHARE =
            4; // attempts on a connection before another is opened, where that is paid for
    private static final int MOST_PAGES = 64;
    private static final int LONGEST_RESULT = 48_000;
    private static final int LONGEST_PAGE = 6_000;
    private static final long HALF_ANSWER =
            500_000; // us: an answer comes in one piece, but for the network's hops
    private static final long UNSENT =
            250_000; // us after word of a drain in which what is queued may go out
    private static final long PAGE =
            1_000_000; // us: a page waits on its engine, and nothing is left to be run
    private static final int MOST_STALE = 256;
    private static final double SILENT_NOTES =
            1.25; // note periods without a byte after which a link is in doubt

    /** What a listed engine is reached at, and the connections there. */
    private static final class Engine {
        InetSocketAddress address;
        boolean draining;
        final List<RespConnection> links = new ArrayList<>();
    }

    /** An attempt on its connection. */
    private static final class RespCall implements AttemptContext {
        final Attempt attempt;
        RespConnection link;
        long writtenAt;
        byte[][] pages;
        int pagesLeft;
        LoadReport report;
        int dials;
        long stopEnd; // bytes queued on its connection when the word that calls it off was, or 0

        RespCall(Attempt attempt) {
            this.attempt = attempt;
        }

        /**
         * Whether nothing of it is out that its engine was not told to give up, by a word or by the
         * connection's end.
         */
        boolean isOver() {
            return stopEnd == 0
                    || link.connection.isClosed()
                    || link.connection.writtenBytes() >= stopEnd;
        }
    }

    /** A question how an engine fares, and the connection that carries it. */
    private final class Probe {
        final long engine;
        final String tag = "probe" + ++probesMade;
        boolean over;

        Probe(long engine) {
            this.engine = engine;
        }

        void end(AttemptOutcome outcome, LoadReport report) {
            if (!over) {
                over = true;
                gateway.probeCompleted(engine, outcome, report);
            }
        }
    }

    /** An attempt in a connection's ring, and the count of bytes at which it has gone out whole. */
    private record GoingOut(long end, Attempt attempt) {}

    private final SelectorLoop loop;
    private final List<String> classNames;
    private final SettingsParser.ConnectionSettings wiring;
    private final long reportIdleUs;
    private final int share;
    private final Map<Long, Engine> engines = new HashMap<>();
    private int mostLinks;
    private int links;
    private long linksMade;
    private long probesMade;
    private Gateway gateway;

    /** At most so many connections to all engines together. */
    public RespEngineClient(
            SelectorLoop loop,
            List<String> classNames,
            SettingsParser.ConnectionSettings wiring,
            int mostLinks) {
        this.loop = loop;
        this.mostLinks = mostLinks;
        this.classNames = classNames;
        this.wiring = wiring;
        share = wiring.connectionsAreCostly() ? SHARE : 1;
        // The engine closes an idle connection too; closing well before it keeps a request from
        // crossing that.
        reportIdleUs = wiring.idleUs() * 7 / 10;
    }

    @Override
    public void setMaxConnections(int connections) {
        mostLinks = connections;
    }

    @Override
    public void attach(Gateway to) {
        gateway = to;
    }

    /** Where an engine listens; another address for a known id is a new process there. */
    @Override
    public void setAddress(long id, InetSocketAddress address) {
        Engine e = engines.computeIfAbsent(id, k -> new Engine());
        if (!address.equals(e.address)) {
            e.address = address;
            closeIdle(e);
            // What waits for a connection to the old address must not reach whoever listens there
            // now.
            List.copyOf(e.links).stream()
                    .filter(link -> !link.connection.isConnected())
                    .forEach(RespConnection::leave);
        }
    }

    // ---- From the core
    // ---------------------------------------------------------------------------------
    @Override
    public void send(Attempt attempt) {
        Engine e = engines.get(attempt.engine());
        if (e == null) {
            gateway.attemptEnded(attempt, AttemptOutcome.CONNECT_FAILED, null, null);
            return;
        }
        e.draining = false;
        RespCall call = new RespCall(attempt);
        attempt.setContext(call);
        place(e, call);
    }

    private void place(Engine e, RespCall call) {
        RespConnection link = choose(e, call.attempt.request().id());
        if (link == null) {
            gateway.attemptEnded(call.attempt, AttemptOutcome.OVERLOADED, call.report, null);
        } else {
            link.add(call);
        }
    }

    /**
     * A connection that has not been heard since the attempt went out may be dead: it takes no
     * other.
     */
    @Override
    public void stop(Attempt attempt) {
        if (attempt.context() instanceof RespCall call
                && call.link.calls.remove(attempt.request().id(), call)) {
            RespConnection link = call.link;
            LOG.debug(
                    "{} attempt {} given up on connection {}",
                    attempt.request().id(),
                    attempt.number(),
                    link.number);
            if (!link.unsent.remove(call)) {
                link.doubtful |= link.heardAt < call.writtenAt;
                link.callOff(call);
                link.stale(attempt.request().id());
            }
            link.rested();
        }
    }

    /** By a connection that is open and heard from; one is opened only where none is. */
    @Override
    public boolean probe(long id) {
        Engine e = engines.get(id);
        long now = loop.clock().now();
        RespConnection link = e == null ? null : toAsk(e, now);
        while (link != null && link.restsEnded()) {
            link = toAsk(e, now);
        }
        if (e == null || link == null && links >= mostLinks) {
            return false;
        }
        try {
            Probe probe = new Probe(id);
            (link == null ? new RespConnection(e) : link).ask(probe);
            loop.deadlines()
                    .add(
                            now + wiring.dialTimeoutUs(),
                            (at, ref) -> probe.end(AttemptOutcome.TIMEOUT, null),
                            0);
            return true;
        } catch (IOException x) {
            LOG.warn("no connection to {}: {}", e.address, x.toString());
            return false;
        }
    }

    private static RespConnection toAsk(Engine e, long now) {
        return e.links.stream()
                .filter(l -> !l.connection.isClosing() && !l.doubtful && !l.silent(now))
                .min(
                        Comparator.comparing((RespConnection l) -> !l.connection.isConnected())
                                .thenComparingInt(l -> l.calls.size()))
                .orElse(null);
    }

    @Override
    public void priorityChanged(Attempt attempt) {
        if (attempt.context() instanceof RespCall call && !call.link.unsent.contains(call)) {
            call.link.tell(
                    "NICE", attempt.request().id(), Integer.toString(attempt.request().priority()));
        }
    }

    /**
     * Nothing new may go out to an engine that drains, and that includes what still waits for its
     * connection to come up: a slow connect must not carry a send past the grace.
     */
    @Override
    public void engineDraining(long engine) {
        Engine e = engines.get(engine);
        if (e != null) {
            e.draining = true;
            List.copyOf(e.links)
                    .forEach(
                            link ->
                                    List.copyOf(link.unsent)
                                            .forEach(
                                                    call -> {
                                                        link.unsent.remove(call);
                                                        link.end(
                                                                call,
                                                                AttemptOutcome.CONNECT_FAILED,
                                                                null);
                                                    }));
            closeIdle(e);
            loop.deadlines().add(loop.clock().now() + UNSENT, (now, ref) -> closeBlocked(e), 0);
        }
    }

    /** What still waits for room in a socket would go out after the grace. */
    private static void closeBlocked(Engine e) {
        if (e.draining) {
            List.copyOf(e.links).stream()
                    .filter(l -> l.connection.unsentBytes() > 0)
                    .forEach(l -> l.connection.close());
        }
    }

    @Override
    public void engineReinstated(long engine) {
        Engine e = engines.get(engine);
        if (e != null) {
            closeIdle(e);
            e.links.forEach(link -> link.doubtful = true);
        }
    }

    /**
     * Its process has ended, so what is open to it gets no answer; a machine cut off would never
     * say so.
     */
    @Override
    public void engineRemoved(long engine) {
        Engine e = engines.remove(engine);
        if (e != null) {
            e.draining = true;
            List.copyOf(e.links).forEach(link -> link.connection.close());
        }
    }

    private static void closeIdle(Engine e) {
        List.copyOf(e.links).stream().filter(l -> l.calls.isEmpty()).forEach(RespConnection::leave);
    }

    /**
     * A resting connection, the last used first, else a new one, as whatever spoils a connection
     * spoils all that is on it; where opening one is paid for, a few attempts share one. The one
     * with most room where no more may be opened, and null where all are full.
     */
    private RespConnection choose(Engine e, String id) {
        RespConnection best = best(e, id);
        while (best != null && best.restsEnded()) {
            best = best(e, id);
        }
        int fair = Math.max(1, mostLinks / Math.max(1, engines.size()));
        boolean more = e.links.size() < Math.min(fair, MOST_CONNECTIONS) && links < mostLinks;
        if (best != null && best.calls.size() < share || !more) {
            return best;
        }
        try {
            return new RespConnection(e);
        } catch (IOException x) {
            LOG.warn("no connection to {}: {}", e.address, x.toString());
            return best;
        }
    }

    private RespConnection best(Engine e, String id) {
        long now = loop.clock().now();
        RespConnection best = null;
        for (RespConnection link : e.links) {
            boolean usable =
                    !link.connection.isClosing()
                            && link.calls.size() < wiring.maxStreamsPerConnection()
                            && !link.doubtful
                            && !link.silent(now)
                            && !link.stale.contains(id)
                            && !link.calls.containsKey(id);
            boolean better =
                    best == null
                            || link.calls.size() < best.calls.size()
                            || link.calls.size() == best.calls.size()
                                    && link.restedAt > best.restedAt;
            if (usable && better) {
                best = link;
            }
        }
        return best;
    }

    /** One connection to an engine and the attempts on it by request id. */
    private final class RespConnection implements Connection.Handler {
        final Engine engine;
        final long number = ++linksMade;
        final Map<String, RespCall> calls = new HashMap<>();
        final List<RespCall> unsent = new ArrayList<>();
        final Map<String, Probe> probes = new HashMap<>();
        final Set<String> stale = new HashSet<>();
        final List<RespConnection> inDoubt =
                new ArrayList<>(); // broken ones whose engine may have died with them
        final ArrayDeque<GoingOut> goingOut = new ArrayDeque<>();
        final Connection connection;
        long heardAt;
        long busySince;
        long restedAt;
        long partSince;
        boolean watched, partWatched, doubtful, spoilt;

        RespConnection(Engine engine) throws IOException {
            this.engine = engine;
            connection = Connection.connect(loop, engine.address, this, BOUND, BOUND);
            engine.links.add(this);
            links++;
            loop.deadlines()
                    .add(
                            loop.clock().now() + wiring.dialTimeoutUs(),
                            (now, ref) -> {
                                if (!connection.isConnected()) {
                                    connection.close();
                                }
                            },
                            0);
        }

        void add(RespCall call) {
            if (calls.isEmpty()) {
                busySince = loop.clock().now();
            }
            call.link = this;
            call.dials++;
            calls.put(call.attempt.request().id(), call);
            if (connection.isConnected()) {
                write(call);
            } else {
                unsent.add(call);
            }
        }

        void ask(Probe probe) {
            probes.values().removeIf(each -> each.over);
            probes.put(probe.tag, probe);
            restedAt = loop.clock().now(); // It does not rest while its engine is about to answer.
            if (connection.isConnected()) {
                tell("STAT", probe.tag);
            }
        }

        /**
         * An engine closes what rests, maybe just now: written there, nobody could tell whether a
         * request ran.
         */
        boolean restsEnded() {
            return calls.isEmpty() && connection.hasPeerClosed();
        }

        /** Closed by our own choice, it tells nothing of its engine. */
        void leave() {
            List.copyOf(probes.values())
                    .forEach(probe -> probe.end(AttemptOutcome.NOT_STARTED, null));
            connection.close();
        }

        private void write(RespCall call) {
            Attempt a = call.attempt;
            Attempt before = a.request().previousAttempt();
            if (before != null
                    && before.context() instanceof RespCall last
                    && !last.isOver()) { // Would be a second copy.
                LOG.error(
                        "{}: attempt {} by connection {} before the word that ends attempt {} ({}"
                                + " us old) was out on {}",
                        a.request().id(),
                        a.number(),
                        number,
                        before.number(),
                        loop.clock().now() - before.sentAt(),
                        last.link.number);
                end(call, AttemptOutcome.OVERLOADED, null);
                return;
            }
            call.writtenAt = loop.clock().now();
            long waitMs = Math.max(1, (a.giveUpAt() - loop.clock().now()) / 1000);
            String fields =
                    "class="
                            + classNames.get(a.request().queryClass())
                            + ",wait="
                            + waitMs
                            + ",urgency="
                            + a.request().priority()
                            + (a.request().operation() instanceof IdempotencyKey idempotencyKey
                                    ? ",once=" + idempotencyKey.key()
                                    : "");
            boolean sent =
                    connection.write(
                            Resp.array(
                                    Resp.ascii("REQ"),
                                    Resp.ascii(a.request().id()),
                                    Resp.ascii(fields),
                                    a.request().body()));
            LOG.debug(
                    "{} attempt {} to {} by connection {}",
                    a.request().id(),
                    a.number(),
                    engine.address,
                    number);
            if (sent) {
                goingOut.add(new GoingOut(connection.queuedBytes(), a));
            } else { // The ring is full: not a byte of it went out.
                end(call, AttemptOutcome.OVERLOADED, null);
            }
        }

        @Override
        public void drained(Connection c) {
            while (!goingOut.isEmpty() && goingOut.peek().end <= c.writtenBytes()) {
                gateway.attemptWritten(goingOut.poll().attempt);
            }
        }

        boolean tell(String... words) {
            return connection.write(Resp.command(words));
        }

        /**
         * The word goes out before the next attempt. Where the engine reads so little that it
         * can't, the end of the connection says it.
         */
        void callOff(RespCall call) {
            boolean told = tell("STOP", call.attempt.request().id());
            call.stopEnd = connection.queuedBytes();
            connection.flushNow();
            if (!told) {
                connection.close();
            } else if (!call.isOver()) {
                loop.deadlines()
                        .add(
                                loop.clock().now() + Gateway.CANCEL_DELIVERY_MICROS / 2,
                                (now, ref) -> {
                                    if (!call.isOver()) {
                                        LOG.warn(
                                                "engine at {} reads nothing: connection {} closed",
                                                engine.address,
                                                number);
                                        connection.close();
                                    }
                                },
                                0);
            }
        }

        /**
         * A late answer under this id must not be taken for one to another attempt of the same
         * request.
         */
        void stale(String id) {
            if (stale.size() >= MOST_STALE) {
                stale.clear();
            }
            stale.add(id);
        }

        /**
         * A machine cut off says nothing: new attempts go on another connection, whose fate tells
         * more.
         */
        boolean silent(long now) {
            return wiring.progressPeriodUs() > 0
                    && !calls.isEmpty()
                    && now - Math.max(heardAt, busySince)
                            > SILENT_NOTES * wiring.progressPeriodUs();
        }

        void end(RespCall call, AttemptOutcome outcome, byte[] result) {
            if (calls.remove(call.attempt.request().id(), call)) {
                if (outcome
                        != AttemptOutcome
                                .OK) { // Another attempt of it must not take a second copy for its
                    // own answer.
                    stale(call.attempt.request().id());
                }
                call.pages = null;
                LOG.debug(
                        "{} attempt {} ends {} on connection {}",
                        call.attempt.request().id(),
                        call.attempt.number(),
                        outcome,
                        number);
                rested();
                gateway.attemptEnded(
                        call.attempt,
                        outcome,
                        call.report,
                        result == null ? null : new TextResult(result));
            }
        }

        void rested() {
            restedAt = loop.clock().now();
            if (calls.isEmpty() && (doubtful || engine.draining)) {
                connection.closeGracefully();
            } else if (calls.isEmpty() && !watched && !connection.isClosed()) {
                watched = true;
                loop.deadlines().add(restedAt + reportIdleUs, this::idle, 0);
            }
        }

        private void idle(long now, long ref) {
            watched = false;
            if (calls.isEmpty() && now >= restedAt + reportIdleUs) {
                connection.close();
            } else if (calls.isEmpty()) {
                watched = true;
                loop.deadlines().add(restedAt + reportIdleUs, this::idle, 0);
            }
        }

        @Override
        public void connected(Connection c) {
            heardAt = loop.clock().now();
            for (RespCall call : List.copyOf(unsent)) {
                boolean may = gateway.maySend(call.attempt);
                if (unsent.remove(call) && may) {
                    write(call);
                } else {
                    end(call, AttemptOutcome.NOT_STARTED, null);
                }
            }
            probes.keySet().forEach(tag -> tell("STAT", tag));
            inDoubt.forEach(link -> link.endAll(AttemptOutcome.CONNECTION_BROKEN));
            inDoubt.clear();
            rested();
        }

        @Override
        public void received(Connection c) {
            heardAt = loop.clock().now();
            try {
                for (byte[][] answer = Resp.take(c.input());
                        answer != null;
                        answer = Resp.take(c.input())) {
                    partSince = heardAt;
                    answer(answer);
                }
                if (c.input().remainingCapacity() == 0) {
                    throw new InvalidInputException("an answer is too long");
                }
                if (c.input().size() > 0 && !partWatched) {
                    partWatched = true;
                    partSince = heardAt;
                    loop.deadlines().add(heardAt + HALF_ANSWER, this::part, 0);
                }
            } catch (InvalidInputException e) {
                spoilt(e.getMessage());
            }
        }

        /** Whatever was meant is unknown: every attempt on this connection may have run. */
        private void spoilt(String why) {
            LOG.warn("engine at {}: {}", engine.address, why);
            spoilt = true;
            connection.close();
        }

        /** An answer that stopped half-way holds up all behind it for good. */
        private void part(long now, long ref) {
            partWatched = false;
            if (!connection.isClosed() && connection.input().size() > 0) {
                if (now - partSince >= HALF_ANSWER) {
                    spoilt("an answer stopped half-way");
                } else {
                    partWatched = true;
                    loop.deadlines().add(partSince + HALF_ANSWER, this::part, 0);
                }
            }
        }

        private void answer(byte[][] answer) throws InvalidInputException {
            if (answer.length != 4) {
                throw new InvalidInputException("an answer of " + answer.length + " parts");
            }
            String id = new String(answer[0], StandardCharsets.ISO_8859_1);
            Probe probe = probes.remove(id);
            if (probe != null) {
                probed(probe, answer);
                return;
            }
            RespCall call = calls.get(id);
            if (call == null) { // Late, a second copy, or nobody's: good as it may be, it is of no
                // use.
                return;
            }
            String word = new String(answer[1], StandardCharsets.ISO_8859_1);
            Map<String, String> fields =
                    RespFields.parse(new String(answer[2], StandardCharsets.ISO_8859_1));
            LoadReport report = RespFields.report(fields.get("stats"));
            call.report = report != null ? report : call.report;
            switch (word) {
                case "DONE":
                    done(call, RespFields.whole(fields, "sheets", 1, MOST_PAGES), answer[3]);
                    break;
                case "MORE":
                    more(call, RespFields.whole(fields, "sheet", -1, MOST_PAGES), answer[3]);
                    break;
                case "WAIT":
                    end(call, AttemptOutcome.OVERLOADED, null);
                    break;
                case "BROKE":
                    end(call, AttemptOutcome.ERROR, null);
                    break;
                case "PAST":
                    end(call, AttemptOutcome.NOT_STARTED, null);
                    break;
                case "TELL":
                    note(call, fields);
                    break;
                default:
                    throw new InvalidInputException("an answer of an unknown kind");
            }
        }

        /** Who is unfit says so by its own word, and its report may still tell why. */
        private void probed(Probe probe, byte[][] answer) throws InvalidInputException {
            String word = new String(answer[1], StandardCharsets.ISO_8859_1);
            if (!word.equals("FIT") && !word.equals("UNFIT")) {
                throw new InvalidInputException("an answer to a probe of an unknown kind");
            }
            Map<String, String> fields =
                    RespFields.parse(new String(answer[2], StandardCharsets.ISO_8859_1));
            probe.end(
                    word.equals("FIT") ? AttemptOutcome.OK : AttemptOutcome.ERROR,
                    RespFields.report(fields.get("stats")));
        }

        /**
         * The first page. The rest is fetched before anything goes out: a result is passed on whole
         * or not.
         */
        private void done(RespCall call, int pages, byte[] first) throws InvalidInputException {
            if (call.pages != null) { // A second copy, while the other pages are on their way.
                return;
            }
            if (pages < 1) {
                throw new InvalidInputException("a result that can't be");
            }
            if (pages == 1) {
                end(call, AttemptOutcome.OK, rows(first));
                return;
            }
            call.pages = new byte[pages][];
            call.pages[0] = rows(first);
            call.pagesLeft = pages - 1;
            for (int page = 1; page < pages; page++) {
                tell("FETCH", call.attempt.request().id(), Integer.toString(page));
            }
            awaitPage(call, call.pagesLeft);
        }

        /** Pages come one after another; where none does, the connection is of no more use. */
        private void awaitPage(RespCall call, int left) {
            loop.deadlines()
                    .add(
                            loop.clock().now() + PAGE,
                            (now, ref) -> {
                                if (calls.get(call.attempt.request().id()) == call) {
                                    if (call.pagesLeft < left) {
                                        awaitPage(call, call.pagesLeft);
                                    } else {
                                        spoilt("a page did not come");
                                    }
                                }
                            },
                            0);
        }

        private void more(RespCall call, int page, byte[] rows) throws InvalidInputException {
            if (call.pages == null || page < 0 || page >= call.pages.length) {
                throw new InvalidInputException("a page that was not asked for");
            }
            if (call.pages[page] != null) {
                return;
            }
            call.pages[page] = rows(rows);
            if (--call.pagesLeft == 0) {
                tell("END", call.attempt.request().id());
                int length = 0;
                for (byte[] each : call.pages) {
                    length += each.length;
                }
                if (length > LONGEST_RESULT) {
                    throw new InvalidInputException("a result is too long");
                }
                byte[] whole = new byte[length];
                int at = 0;
                for (byte[] each : call.pages) {
                    System.arraycopy(each, 0, whole, at, each.length);
                    at += each.length;
                }
                end(call, AttemptOutcome.OK, whole);
            }
        }

        /** A page of whole rows; one that is cut would pass for whole further on. */
        private byte[] rows(byte[] page) throws InvalidInputException {
            if (page.length > LONGEST_PAGE || page.length > 0 && page[page.length - 1] != '\n') {
                throw new InvalidInputException("a page that does not hold whole rows");
            }
            return page;
        }

        private void note(RespCall call, Map<String, String> fields) {
            double value = RespFields.number(fields.get("val"));
            switch (fields.getOrDefault("how", "")) {
                case "pct":
                    gateway.attemptProgressed(call.attempt, ProgressKind.FRACTION_DONE, value);
                    break;
                case "overflow":
                    gateway.attemptProgressed(call.attempt, ProgressKind.SPILLING, value);
                    break;
                case "queued":
                    gateway.attemptProgressed(
                            call.attempt,
                            value >= 2
                                    ? ProgressKind.WAITING_FOR_LOAD
                                    : ProgressKind.WAITING_FOR_MEMORY,
                            value);
                    break;
                default:
                    gateway.attemptProgressed(call.attempt, ProgressKind.OTHER, 0);
                    break;
            }
        }

        /**
         * What had not gone out never ran, and may try one more connection: new ones are reset at
         * times. What had gone out may have run; whether the engine's process has ended or only
         * this connection shows in another.
         */
        @Override
        public void closed(Connection c) {
            LOG.debug(
                    "connection {} to {} closed under {}", number, engine.address, calls.keySet());
            engine.links.remove(this);
            links--;
            List.copyOf(probes.values())
                    .forEach(
                            probe ->
                                    probe.end(
                                            heardAt > 0
                                                    ? AttemptOutcome.CONNECTION_BROKEN
                                                    : AttemptOutcome.CONNECT_FAILED,
                                            null));
            List<RespCall> never = List.copyOf(unsent);
            unsent.clear();
            for (RespCall call : never) {
                boolean again = c.wasReset() && call.dials < 2 && !engine.draining;
                boolean may = again && gateway.maySend(call.attempt);
                if (may && calls.remove(call.attempt.request().id(), call)) {
                    place(engine, call);
                } else {
                    end(
                            call,
                            again ? AttemptOutcome.NOT_STARTED : AttemptOutcome.CONNECT_FAILED,
                            null);
                }
            }
            inDoubt.forEach(
                    link ->
                            link.endAll(
                                    c.wasReset()
                                            ? AttemptOutcome.CONNECTION_BROKEN
                                            : AttemptOutcome.RESET)); // Somebody was there.
            inDoubt.clear();
            if (spoilt) { // The close is our word that all on it is given up, and has to travel,
                // too.
                loop.deadlines()
                        .add(
                                loop.clock().now() + Gateway.CANCEL_DELIVERY_MICROS,
                                (now, ref) -> endAll(AttemptOutcome.CONNECTION_BROKEN),
                                0);
            } else if (!calls.isEmpty()) {
                doubt();
            }
        }

        private void doubt() {
            RespConnection other =
                    engine.links.stream()
                            .filter(l -> !l.connection.isConnected())
                            .findFirst()
                            .orElse(null);
            try {
                other = other == null && !engine.draining ? new RespConnection(engine) : other;
            } catch (IOException e) {
                LOG.warn("no connection to {}: {}", engine.address, e.toString());
            }
            if (other == null) {
                endAll(AttemptOutcome.RESET);
            } else {
                other.inDoubt.add(this);
            }
        }

        private void endAll(AttemptOutcome outcome) {
            List.copyOf(calls.values()).forEach(call -> end(call, outcome, null));
        }
    }
}
