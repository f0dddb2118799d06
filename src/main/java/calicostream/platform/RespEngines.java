// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.QueryRouter.Notice;
import calicostream.QueryRouter.Outcome;
import calicostream.QueryRouter.Report;
import calicostream.SettingsParser;
import calicostream.core.Engines;
import calicostream.core.Gateway;
import calicostream.net.BadInput;
import calicostream.net.Connection;
import calicostream.net.Loop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The engine side of the platform: RESP over a few reused connections to each engine. */
final class RespEngines implements Engines {
    private static final Logger LOG = LoggerFactory.getLogger(RespEngines.class);
    private static final int BOUND = 256 * 1024;
    private static final int MOST_CONNECTIONS = 6; // to one engine: with ten engines far below the descriptors
    private static final int MOST_PAGES = 64;
    private static final int MOST_STALE = 256;
    private static final double SILENT_NOTES = 1.25; // note periods without a byte after which a link is in doubt

    /** What a listed engine is reached at, and the connections there. */
    private static final class Engine {
        InetSocketAddress address;
        final List<Link> links = new ArrayList<>();
    }

    /** An attempt on its connection. */
    private static final class Call {
        final Gateway.Attempt attempt;
        final Link link;
        byte[][] pages;
        int pagesLeft;
        Report report;

        Call(Gateway.Attempt attempt, Link link) {
            this.attempt = attempt;
            this.link = link;
        }
    }

    private final Loop loop;
    private final List<String> classNames;
    private final SettingsParser.Wiring wiring;
    private final long reportIdleUs;
    private final Map<Long, Engine> engines = new HashMap<>();
    private Gateway gateway;

    RespEngines(Loop loop, List<String> classNames, SettingsParser.Wiring wiring) {
        this.loop = loop;
        this.classNames = classNames;
        this.wiring = wiring;
        // The engine closes an idle connection too; closing well before it keeps a request from crossing that.
        reportIdleUs = wiring.idleUs() * 7 / 10;
    }

    @Override
    public void attach(Gateway to) {
        gateway = to;
    }

    /** Where an engine listens; another address for a known id is a new process there. */
    @Override
    public void locate(long id, InetSocketAddress address) {
        Engine e = engines.computeIfAbsent(id, k -> new Engine());
        if (!address.equals(e.address)) {
            e.address = address;
            closeIdle(e);
        }
    }

    // ---- From the core ---------------------------------------------------------------------------------
    @Override
    public void send(Gateway.Attempt attempt) {
        Engine e = engines.get(attempt.engine);
        Link link = e == null ? null : choose(e, attempt.request.id);
        if (link == null) {
            gateway.ended(attempt, e == null ? Outcome.CONNECT_FAILED : Outcome.FULL, null, null);
            return;
        }
        Call call = new Call(attempt, link);
        attempt.link = call;
        link.add(call);
    }

    @Override
    public void stop(Gateway.Attempt attempt) {
        if (attempt.link instanceof Call call && call.link.calls.remove(attempt.request.id, call)) {
            if (!call.link.unsent.remove(call)) {
                call.link.tell("STOP", attempt.request.id);
                call.link.stale(attempt.request.id);
            }
            call.link.rested();
        }
    }

    @Override
    public void priority(Gateway.Attempt attempt) {
        if (attempt.link instanceof Call call && !call.link.unsent.contains(call)) {
            call.link.tell("NICE", attempt.request.id, Integer.toString(attempt.request.priority()));
        }
    }

    /**
     * Nothing new may go out to an engine that drains, and that includes what still waits for its connection
     * to come up: a slow connect must not carry a send past the grace.
     */
    @Override
    public void withdrawn(long engine) {
        Engine e = engines.get(engine);
        if (e != null) {
            List.copyOf(e.links).forEach(link -> List.copyOf(link.unsent).forEach(call -> {
                link.unsent.remove(call);
                link.end(call, Outcome.CONNECT_FAILED, null);
            }));
            closeIdle(e);
        }
    }

    private static void closeIdle(Engine e) {
        List.copyOf(e.links).stream().filter(l -> l.calls.isEmpty()).forEach(l -> l.connection.close());
    }

    /** The connection with most room that is up, else one coming up, else a new one; null where all are full. */
    private Link choose(Engine e, String id) {
        long now = loop.clock().now();
        Link best = null;
        for (Link link : e.links) {
            boolean usable = !link.connection.isClosed() && link.calls.size() < wiring.streams()
                    && !link.silent(now) && !link.stale.contains(id) && !link.calls.containsKey(id);
            boolean better = best == null || link.connection.isConnected() && !best.connection.isConnected()
                    || link.connection.isConnected() == best.connection.isConnected()
                    && link.calls.size() < best.calls.size();
            if (usable && better) {
                best = link;
            }
        }
        if (best != null) {
            return best;
        }
        if (e.links.size() >= MOST_CONNECTIONS) {
            return null;
        }
        try {
            return new Link(e);
        } catch (IOException x) {
            LOG.warn("no connection to {}: {}", e.address, x.toString());
            return null;
        }
    }

    /** One connection to an engine and the attempts on it by request id. */
    private final class Link implements Connection.Handler {
        final Engine engine;
        final Map<String, Call> calls = new HashMap<>();
        final List<Call> unsent = new ArrayList<>();
        final Set<String> stale = new HashSet<>();
        final Connection connection;
        long heardAt;
        long busySince;
        long restedAt;
        boolean watched;

        Link(Engine engine) throws IOException {
            this.engine = engine;
            connection = Connection.to(loop, engine.address, this, BOUND, BOUND);
            engine.links.add(this);
            loop.deadlines().add(loop.clock().now() + wiring.dialTimeoutUs(), (now, ref) -> {
                if (!connection.isConnected()) {
                    connection.close();
                }
            }, 0);
        }

        void add(Call call) {
            if (calls.isEmpty()) {
                busySince = loop.clock().now();
            }
            calls.put(call.attempt.request.id, call);
            if (connection.isConnected()) {
                write(call);
            } else {
                unsent.add(call);
            }
        }

        private void write(Call call) {
            Gateway.Attempt a = call.attempt;
            long waitMs = Math.max(1, (a.giveUpAt - loop.clock().now()) / 1000);
            String fields = "class=" + classNames.get(a.request.queryClass) + ",wait=" + waitMs
                    + ",urgency=" + a.request.priority();
            boolean sent = connection.write(Resp.array(Resp.ascii("REQ"), Resp.ascii(a.request.id),
                    Resp.ascii(fields), a.request.body));
            if (!sent) { // The ring is full: not a byte of it went out.
                end(call, Outcome.FULL, null);
            }
        }

        void tell(String... words) {
            connection.write(Resp.command(words));
        }

        /** A late answer under this id must not be taken for one to another attempt of the same request. */
        void stale(String id) {
            if (stale.size() >= MOST_STALE) {
                stale.clear();
            }
            stale.add(id);
        }

        /** A machine cut off says nothing: new attempts go on another connection, whose fate tells more. */
        boolean silent(long now) {
            return wiring.noteUs() > 0 && !calls.isEmpty()
                    && now - Math.max(heardAt, busySince) > SILENT_NOTES * wiring.noteUs();
        }

        void end(Call call, Outcome outcome, byte[] result) {
            if (calls.remove(call.attempt.request.id, call)) {
                rested();
                gateway.ended(call.attempt, outcome, call.report, result);
            }
        }

        void rested() {
            restedAt = loop.clock().now();
            if (calls.isEmpty() && !watched && !connection.isClosed()) {
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
            List<Call> waiting = List.copyOf(unsent);
            unsent.clear();
            waiting.forEach(this::write);
        }

        @Override
        public void received(Connection c) {
            heardAt = loop.clock().now();
            try {
                for (byte[][] answer = Resp.take(c.in()); answer != null; answer = Resp.take(c.in())) {
                    answer(answer);
                }
                if (c.in().room() == 0) {
                    throw new BadInput("an answer is too long");
                }
            } catch (BadInput e) {
                // Whatever was meant is unknown: every attempt on this connection may have run.
                LOG.warn("engine at {}: {}", engine.address, e.getMessage());
                c.close();
            }
        }

        private void answer(byte[][] answer) throws BadInput {
            if (answer.length != 4) {
                throw new BadInput("an answer of " + answer.length + " parts");
            }
            String id = new String(answer[0], StandardCharsets.ISO_8859_1);
            String word = new String(answer[1], StandardCharsets.ISO_8859_1);
            Map<String, String> fields = Fields.parse(new String(answer[2], StandardCharsets.ISO_8859_1));
            Call call = calls.get(id);
            if (call == null) {
                stale.remove(id);
                return;
            }
            Report report = Fields.report(fields.get("stats"));
            call.report = report != null ? report : call.report;
            switch (word) {
                case "DONE": done(call, Fields.whole(fields, "sheets", 1, MOST_PAGES), answer[3]); break;
                case "MORE": more(call, Fields.whole(fields, "sheet", -1, MOST_PAGES), answer[3]); break;
                case "WAIT": end(call, Outcome.FULL, null); break;
                case "BROKE": end(call, Outcome.ERROR, null); break;
                case "PAST": end(call, Outcome.MOOT, null); break;
                case "TELL": note(call, fields); break;
                default: throw new BadInput("an answer of an unknown kind");
            }
        }

        /** The first page. The rest is fetched before anything goes out: a result is passed on whole or not. */
        private void done(Call call, int pages, byte[] first) throws BadInput {
            if (pages < 1 || call.pages != null) {
                throw new BadInput("a result that can't be");
            }
            if (pages == 1) {
                end(call, Outcome.OK, first);
                return;
            }
            call.pages = new byte[pages][];
            call.pages[0] = first;
            call.pagesLeft = pages - 1;
            for (int page = 1; page < pages; page++) {
                tell("FETCH", call.attempt.request.id, Integer.toString(page));
            }
        }

        private void more(Call call, int page, byte[] rows) throws BadInput {
            if (call.pages == null || page < 1 || page >= call.pages.length) {
                throw new BadInput("a page that was not asked for");
            }
            if (call.pages[page] != null) {
                return;
            }
            call.pages[page] = rows;
            if (--call.pagesLeft == 0) {
                tell("END", call.attempt.request.id);
                int length = 0;
                for (byte[] each : call.pages) {
                    length += each.length;
                }
                byte[] whole = new byte[length];
                int at = 0;
                for (byte[] each : call.pages) {
                    System.arraycopy(each, 0, whole, at, each.length);
                    at += each.length;
                }
                end(call, Outcome.OK, whole);
            }
        }

        private void note(Call call, Map<String, String> fields) {
            double value = Fields.number(fields.get("val"));
            switch (fields.getOrDefault("how", "")) {
                case "pct": gateway.progress(call.attempt, Notice.SHARE_DONE, value); break;
                case "overflow": gateway.progress(call.attempt, Notice.SPILLS, value); break;
                case "queued":
                    gateway.progress(call.attempt, value >= 2 ? Notice.WAITS_FOR_LOAD : Notice.WAITS_FOR_MEMORY, value);
                    break;
                default: gateway.progress(call.attempt, Notice.OTHER, 0); break;
            }
        }

        @Override
        public void closed(Connection c) {
            engine.links.remove(this);
            for (Call call : List.copyOf(calls.values())) {
                boolean never = unsent.contains(call);
                end(call, never ? Outcome.CONNECT_FAILED : Outcome.RESET, null);
            }
            unsent.clear();
        }
    }
}
