// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.Logic;
import calicostream.QueryRouter;
import calicostream.core.Front.Failure;
import calicostream.core.Watcher.Ending;
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

/**
 * Requests, attempts and outcomes between fronts and engines, whatever wires these speak. One
 * thread calls it. It carries out what the decision module asks and holds the promises that no
 * front or engine side may break: one final answer a request, one end an attempt, never two
 * attempts at once, and no second send or refusal of a query that must not run twice once it may
 * have run.
 */
public final class Gateway implements QueryRouter.Actions {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

    /**
     * us after word of it to an engine that an attempt called off still counts as out there. The
     * next attempt goes by another connection, whose bytes may overtake that word. No final answer
     * waits for this.
     */
    public static final long STOP_TRAVELS = 10_000;

    /** A request in hand. */
    public static final class Request {
        final Front front;
        final long tag;
        final QueryRouter.QueryClass spec;
        final long takenAt;
        public final String id;
        public final int queryClass;
        public final byte[] body;

        /**
         * What to do where the body's text does not say it all; it belongs to the front and the
         * engine side.
         */
        public final Object work;

        /** The one engine that may run it, or 0. */
        public final long pinned;

        public final long deadline;

        /** Belongs to the engine side, which may tell tenants apart. */
        public int tenant;

        long handle;
        int attempts;
        long riskSince; // when the first attempt that may have run was sent
        boolean answered, mayHaveRun, streaming, told, left;
        QueryRouter.Query asked;
        Attempt out;
        private Attempt before;
        int priority = 1;

        private Request(
                Front front,
                long tag,
                String id,
                int queryClass,
                QueryRouter.QueryClass spec,
                byte[] body,
                Object work,
                long pinned,
                long takenAt,
                long deadline) {
            this.front = front;
            this.tag = tag;
            this.id = id;
            this.queryClass = queryClass;
            this.spec = spec;
            this.body = body;
            this.work = work;
            this.pinned = pinned;
            this.takenAt = takenAt;
            this.deadline = deadline;
        }

        /** Whether it is a load, which engines take as an update and which holds its tables. */
        public boolean isLoad() {
            return spec.load();
        }

        /** Whether it must not run twice: by its class, or as its engine holds what it changes. */
        public boolean isOnce() {
            return pinned != 0 || spec.effect() == QueryRouter.Effect.ONCE;
        }

        /**
         * Whether its client may ask for it once more, at any front end, though it may have run.
         */
        private boolean isHarmlessAgain() {
            return !isOnce()
                    && (spec.effect() == QueryRouter.Effect.REPEATABLE
                            || spec.scope() == QueryRouter.Scope.ALL);
        }

        /** Until when a further attempt may go out, as far as what may have run bounds that. */
        private long repeatableUntil() {
            boolean bounded = mayHaveRun && spec.effect() == QueryRouter.Effect.BY_KEY;
            return bounded ? riskSince + spec.windowUs() : Long.MAX_VALUE;
        }

        /** Whether it keeps its turn among those of its key. */
        boolean isInLine() {
            return spec.inOrder() && asked.key() != 0;
        }

        /** Who asked, and under which tag. */
        public Front front() {
            return front;
        }

        public long tag() {
            return tag;
        }

        /** Nothing more is owed for it. */
        public boolean isOver() {
            return answered;
        }

        public int priority() {
            return priority;
        }

        /**
         * The attempt that ended last, or null: the engine side makes sure that its word goes
         * before the next one.
         */
        public Attempt before() {
            return before;
        }
    }

    /** One send of a request. {@code link} belongs to the engine side. */
    public static final class Attempt {
        public final Request request;
        public final int number;
        public final long engine;
        public final long sentAt;
        public final long giveUpAt;
        public Object link;
        long handle;
        private final long goesOutBefore;
        private boolean calledOff;

        private Attempt(Request request, int number, long engine, long sentAt, long giveUpAt) {
            this.request = request;
            this.number = number;
            this.engine = engine;
            this.sentAt = sentAt;
            this.giveUpAt = giveUpAt;
            goesOutBefore = Math.min(giveUpAt, request.repeatableUntil());
        }

        public long handle() {
            return handle;
        }
    }

    /** {@code word}: the result is no result but a final word on the request. */
    private record End(
            Attempt attempt,
            QueryRouter.Outcome outcome,
            QueryRouter.Report report,
            Object result,
            boolean word) {}

    private final Clock clock;
    private final Deadlines deadlines;
    private final QueryRouter.Settings settings;
    private final QueryRouter router;
    private final Watcher watcher;
    private final Slots<Request> requests = new Slots<>();
    private final Slots<Attempt> attempts = new Slots<>();
    private final Map<Long, QueryRouter.Engine> roster = new HashMap<>();
    private final Set<Long> disabled = new HashSet<>(); // by hand, whatever the list says
    private final Map<Long, Long> restored =
            new HashMap<>(); // engines put back, and when, until they are warm
    private final ArrayDeque<End> ends = new ArrayDeque<>();
    private final Figures figures;
    private final Deadlines.Target moduleTimer = (now, token) -> tell(r -> r.timer(now, token));
    private final Deadlines.Target attemptDue = this::attemptDue;
    private final Deadlines.Target attemptCalledOff = this::attemptCalledOff;
    private final Deadlines.Target requestDue = this::requestDue;
    private final KeyLines<Request> keyLines;
    private Engines engines;
    private boolean inModule, settling;
    private long faults;

    public Gateway(
            Clock clock, Deadlines deadlines, QueryRouter.Settings settings, Watcher watcher) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.settings = settings;
        this.watcher = watcher;
        router = new Logic(settings, this);
        figures = new Figures(settings.classes().size());
        keyLines = new KeyLines<>(clock, deadlines, settings.rules().keyRestUs(), this::arrive);
    }

    /** How this front end's processes share out keys; before the start. */
    public void turns(Turns turns) {
        keyLines.attach(turns);
    }

    /** Starts the module with the engines last known. */
    public void start(Engines side, List<QueryRouter.Engine> known) {
        engines = side;
        engines.attach(this);
        tell(r -> r.start(clock.now()));
        roster(QueryRouter.RosterKind.CACHED, known);
    }

    // ---- From the fronts
    // ------------------------------------------------------------------------------
    /** Takes a request; its answer goes to the front under this tag, maybe before this returns. */
    public long accept(
            Front front,
            long tag,
            String id,
            int queryClass,
            int tableGroup,
            long budgetUs,
            byte[] body) {
        return accept(front, tag, id, queryClass, tableGroup, budgetUs, body, null, 0);
    }

    /** The same with work that the text does not say, and the one engine that may run it, or 0. */
    public long accept(
            Front front,
            long tag,
            String id,
            int queryClass,
            int tableGroup,
            long budgetUs,
            byte[] body,
            Object work,
            long pinned) {
        return accept(
                front,
                tag,
                id,
                new QueryRouter.Query(
                        0, queryClass, 0, 0, budgetUs, 0, 0, tableGroup, false, pinned),
                body,
                work);
    }

    /** The same with all that the client says of it; its id as a query is given here. */
    public long accept(
            Front front, long tag, String id, QueryRouter.Query asked, byte[] body, Object work) {
        long now = clock.now();
        Request request =
                new Request(
                        front,
                        tag,
                        id,
                        asked.queryClass(),
                        settings.classes().get(asked.queryClass()),
                        body,
                        work,
                        asked.pinned(),
                        now,
                        now + asked.timeLeftUs());
        request.handle = requests.add(request);
        deadlines.add(request.deadline, requestDue, request.handle);
        request.asked = asked.as(request.handle);
        if (request.isInLine()) {
            keyLines.add(asked.key(), request);
        } else {
            arrive(request);
        }
        return request.handle;
    }

    /**
     * The module hears of it. It may have waited until another process of this front end was done
     * with its key.
     */
    private void arrive(Request request) {
        if (engines.admits(request)) {
            admitted(request);
        }
    }

    /** The engine side takes a request to the module that it had kept; it may be over by now. */
    public void admitted(Request request) {
        long now = clock.now();
        if (!request.answered && !request.told) {
            request.told = true;
            tell(r -> r.query(now, request.asked.leaving(request.deadline - now)));
        }
    }

    /** The engine side turns a request away that it has kept or was just asked to admit. */
    public void turnAway(Request request, long retryAfterUs) {
        if (!request.told) {
            refuse(request.handle, retryAfterUs);
        }
    }

    private void left(Request request) {
        if (request.isInLine() && request.out == null && !request.left) {
            request.left = true;
            keyLines.left(request.asked.key(), request);
        }
    }

    /**
     * The client has left or takes no answer any more: nothing is owed, and what is out is called
     * off.
     */
    public void abandon(long handle) {
        Request request = requests.get(handle);
        if (request != null) {
            tell(
                    r -> {
                        close(request, Ending.ABANDONED);
                        r.abandoned(clock.now(), handle);
                    });
        }
    }

    /**
     * The process ends: what it has in hand is turned away where trying again is harmless, else it
     * has failed.
     */
    public void giveUpAll() {
        List<Request> open = new ArrayList<>();
        requests.forEach(open::add);
        open.sort(
                Comparator.comparing(
                        request ->
                                request.out != null)); // Or what waits would take the room of what
        // ends.
        for (Request request : open) {
            tell(
                    r -> {
                        if (request.streaming) { // A part of its result has gone out: its client
                            // can tell that no more comes.
                            close(request, Ending.FAILED);
                            request.front.failed(request.tag, Failure.CUT);
                        } else {
                            refuse(request.handle, 0);
                        }
                        r.abandoned(clock.now(), request.handle);
                    });
        }
    }

    /** Requests that still wait for their final answer. */
    public int open() {
        return requests.size();
    }

    /**
     * A request turned away before it could be taken, for what it asks of this front end at once.
     */
    public void turnedAway(int queryClass) {
        figures.ended(queryClass, Ending.REFUSED);
    }

    // ---- For the operators
    // ----------------------------------------------------------------------------
    public Figures figures() {
        return figures;
    }

    /** Engines in the list, whatever their state. */
    public int listed() {
        return roster.size();
    }

    /** Of these, the ones left out now, by hand or by the module, each counted once. */
    public int avoided() {
        return (int)
                roster.keySet().stream()
                        .filter(id -> disabled.contains(id) || router.avoids(id))
                        .count();
    }

    /**
     * Engines that may be used: those that the module leaves out by its own choice, but for trials,
     * or all others.
     */
    public long[] ready(boolean leftOut) {
        return roster.values().stream()
                .filter(each -> usable(each).state() == QueryRouter.EngineState.READY)
                .mapToLong(QueryRouter.Engine::id)
                .filter(id -> router.avoids(id) == leftOut)
                .sorted()
                .toArray();
    }

    /**
     * Another front end tries an engine, and was served or not: a hint about when to try it here.
     * It is nothing where the module uses the engine, and stops nothing from going there that would
     * go there without it.
     */
    public void hinted(long engine, boolean served) {
        if (router.avoids(engine) && served) {
            tell(r -> r.restored(clock.now(), engine));
        } else if (router.avoids(engine)) {
            tell(r -> r.probed(clock.now(), engine, QueryRouter.Outcome.CANCELLED, null));
        }
    }

    /** Whether an engine has this id, or had it when it was taken out. */
    public boolean knows(long engine) {
        return roster.containsKey(engine) || disabled.contains(engine);
    }

    public boolean isDisabled(long engine) {
        return disabled.contains(engine);
    }

    /** Leaves an engine out, whatever the list says of it, until it is enabled. */
    public void disable(long engine) {
        if (disabled.add(engine)) {
            LOG.info("engine {} disabled by hand", Long.toHexString(engine));
            restored.remove(engine);
            hear(roster.get(engine));
        }
    }

    /** Puts an engine back as of this time; it has been restarted meanwhile, so it is cold. */
    public void enable(long engine, long at) {
        LOG.info("engine {} enabled by hand", Long.toHexString(engine));
        disabled.remove(engine);
        restored.values().removeIf(each -> clock.now() - each > settings.rules().warmUpUs());
        restored.put(engine, at);
        engines.renewed(engine);
        hear(roster.get(engine));
        tell(r -> r.restored(clock.now(), engine));
    }

    /**
     * So many processes serve this front end's clients together; this one is number {@code place},
     * from 0.
     */
    public void sharedBy(int processes, int place) {
        keyLines.countOthers(clock.now());
        tell(r -> r.sharedBy(clock.now(), processes, place));
    }

    /** What the module has learned that another process of this front end can start with. */
    public double[] learned() {
        return router.learned();
    }

    public void learned(double[] before) {
        tell(r -> r.learned(before));
    }

    private void hear(QueryRouter.Engine listed) {
        if (listed != null) {
            roster(QueryRouter.RosterKind.CHANGES, List.of(listed));
        }
    }

    /**
     * An engine as module and engine side may use it: only where neither the list nor an operator
     * forbids it.
     */
    private QueryRouter.Engine usable(QueryRouter.Engine listed) {
        boolean ready = listed.state() == QueryRouter.EngineState.READY;
        if (ready && disabled.contains(listed.id())) {
            return listed.in(QueryRouter.EngineState.DRAINING);
        }
        long backAt = restored.getOrDefault(listed.id(), 0L);
        return ready && backAt > listed.bornUs() ? listed.bornAt(backAt) : listed;
    }

    // ---- From the engine side
    // -------------------------------------------------------------------------
    /**
     * An attempt ended. Late word on one that had ended already is ignored, and the answer is
     * false.
     */
    public boolean ended(
            Attempt attempt,
            QueryRouter.Outcome outcome,
            QueryRouter.Report report,
            Object result) {
        return isOut(attempt) && end(attempt, outcome, report, result);
    }

    /** Whether word of it still counts: it has neither ended nor been called off. */
    private boolean isOut(Attempt attempt) {
        return !attempt.calledOff && attempts.get(attempt.handle) != null;
    }

    private boolean end(
            Attempt attempt,
            QueryRouter.Outcome outcome,
            QueryRouter.Report report,
            Object result) {
        if (attempts.remove(attempt.handle) == null) {
            return false;
        }
        ends.add(new End(attempt, outcome, report, result, false));
        settle();
        return true;
    }

    /**
     * An attempt ended with a word that is final for its request and says nothing of its engine:
     * the statement can't be run by any, or what it brings is more than the front end passes on.
     */
    public void concluded(Attempt attempt, QueryRouter.Report report, Object word) {
        if (isOut(attempt)) {
            attempts.remove(attempt.handle);
            ends.add(new End(attempt, QueryRouter.Outcome.CANCELLED, report, word, true));
            settle();
        }
    }

    /**
     * The first of an attempt's result goes to the client before its end is known: no deadline of
     * ours ends it from now on, and its end is the request's, whole or not.
     */
    public void begun(Attempt attempt, Object stream) {
        Request request = attempt.request;
        if (isOut(attempt) && !request.answered) {
            request.streaming = true;
            request.front.begun(request.tag, stream);
            tell(r -> r.started(clock.now(), request.handle, attempt.number));
        }
    }

    /** A probe ended; the report is null where none came. */
    public void probed(long engine, QueryRouter.Outcome outcome, QueryRouter.Report report) {
        if (inModule) { // It came of what the module asked for just now.
            deadlines.add(clock.now(), (now, id) -> probed(id, outcome, report), engine);
        } else {
            engines.reported(engine, report);
            tell(r -> r.probed(clock.now(), engine, outcome, report));
        }
    }

    /**
     * The last byte of an attempt has been written to its engine, whatever has become of it since.
     */
    public void written(Attempt attempt) {
        figures.tried();
    }

    /**
     * Whether an attempt that has waited on the engine side may go out now. If not, it has ended or
     * is to be ended there as one that never ran. Not to be asked while the module acts.
     */
    public boolean mayGoOut(Attempt attempt) {
        Request request = attempt.request;
        if (isOut(attempt) && request.front.hasLeft(request.tag)) {
            abandon(request.handle);
        }
        return isOut(attempt) && clock.now() < attempt.goesOutBefore;
    }

    /** News of an attempt that still runs. */
    public void progress(Attempt attempt, QueryRouter.Notice notice, double amount) {
        if (isOut(attempt)) {
            engines.heard(attempt);
            tell(
                    r ->
                            r.progress(
                                    clock.now(),
                                    new QueryRouter.Progress(
                                            attempt.request.handle,
                                            attempt.number,
                                            notice,
                                            amount)));
        }
    }

    /**
     * News of the list of engines. What has not yet gone out to an engine that drains is taken back
     * first; the module hears of such ends after it has heard the list, so that it does not choose
     * the same engine again.
     */
    public void roster(QueryRouter.RosterKind kind, List<QueryRouter.Engine> list) {
        inModule = true;
        try {
            if (kind != QueryRouter.RosterKind.CHANGES) {
                Map<Long, QueryRouter.Engine> old = new HashMap<>(roster);
                list.forEach(e -> old.remove(e.id()));
                old.values().forEach(e -> list(e.in(QueryRouter.EngineState.GONE)));
            }
            list.forEach(this::list);
        } finally {
            inModule = false;
        }
        List<QueryRouter.Engine> usable = list.stream().map(this::usable).toList();
        tell(r -> r.roster(clock.now(), kind, usable));
    }

    private void list(QueryRouter.Engine engine) {
        QueryRouter.Engine old =
                engine.state() == QueryRouter.EngineState.GONE
                        ? roster.remove(engine.id())
                        : roster.put(engine.id(), engine);
        if (!engine.equals(old)) {
            watcher.engine(engine);
        }
        if (usable(engine).state() == QueryRouter.EngineState.DRAINING) {
            engines.withdrawn(engine.id());
        } else if (engine.state() == QueryRouter.EngineState.GONE) {
            engines.gone(engine.id());
        }
    }

    // ---- The module's actions
    // -------------------------------------------------------------------------
    @Override
    public void send(long query, long engine, long giveUpAt) {
        long now = clock.now();
        Request request = requests.get(query);
        if (request == null) {
            LOG.error("send for a request that is over");
            return;
        }
        long until = giveUpAt > 0 ? Math.min(giveUpAt, request.deadline) : request.deadline;
        Attempt attempt = new Attempt(request, request.attempts, engine, now, until);
        QueryRouter.Engine listed = roster.get(engine);
        boolean ready = listed != null && usable(listed).state() == QueryRouter.EngineState.READY;
        boolean again = (request.isOnce() || request.streaming) && request.mayHaveRun;
        attempt.handle = attempts.add(attempt);
        request.attempts++;
        // Neither a second attempt beside one that is out, nor a second run, whatever the module
        // asks.
        if (request.answered
                || request.out != null
                || again
                || now >= attempt.goesOutBefore
                || request.attempts > settings.limits().maxAttempts()) {
            ended(attempt, QueryRouter.Outcome.MOOT, null, null);
            return;
        }
        if (request.front.hasLeft(
                request.tag)) { // What the client said last is still unread: the module hears it by
            // this end.
            close(request, Ending.ABANDONED);
            ended(attempt, QueryRouter.Outcome.MOOT, null, null);
            return;
        }
        if (!ready) {
            ended(attempt, QueryRouter.Outcome.CONNECT_FAILED, null, null);
            return;
        }
        request.out = attempt;
        deadlines.add(until, attemptDue, attempt.handle);
        engines.send(attempt);
    }

    @Override
    public boolean mayUse(long query, long engine) {
        Request request = requests.get(query);
        return request == null || engines.mayUse(request, engine);
    }

    @Override
    public void cancel(long query, int number) {
        Request request = requests.get(query);
        if (request != null
                && request.out != null
                && request.out.number == number
                && isOut(request.out)) {
            Attempt out = request.out;
            engines.stop(out);
            out.calledOff = true;
            deadlines.add(clock.now() + STOP_TRAVELS, attemptCalledOff, out.handle);
        }
    }

    @Override
    public void refuse(long query, long retryAfterUs) {
        Request request = requests.get(query);
        if (request == null || request.answered) {
            return;
        }
        boolean neverRan = !request.mayHaveRun && request.out == null;
        if (neverRan || request.isHarmlessAgain()) {
            close(request, Ending.REFUSED);
            request.front.refused(request.tag, retryAfterUs / 1000);
        } else { // "Trying again is harmless" would be untrue: say no more than that it failed.
            fail(query);
        }
    }

    @Override
    public void fail(long query) {
        Request request = requests.get(query);
        if (request != null && !request.answered) {
            long slack =
                    4 * settings.tickUs(); // The module ends a query a little before its deadline.
            boolean late = clock.now() + slack >= request.deadline;
            close(request, Ending.FAILED);
            request.front.failed(request.tag, late ? Failure.DEADLINE : Failure.ENGINE);
        }
    }

    @Override
    public void terms(long query, double memoryMb, int priority) {
        Request request = requests.get(query);
        if (request != null && request.priority != priority) {
            request.priority = priority;
            if (request.out != null && isOut(request.out)) {
                engines.priority(request.out);
            }
        }
    }

    @Override
    public void timer(long delayUs, long token) {
        deadlines.add(clock.now() + delayUs, moduleTimer, token);
    }

    @Override
    public void probe(long engine) {
        QueryRouter.Engine listed = roster.get(engine);
        boolean ready = listed != null && usable(listed).state() == QueryRouter.EngineState.READY;
        if (!ready || !engines.probe(engine)) { // Told later: the module must not be re-entered.
            deadlines.add(
                    clock.now(), (now, id) -> probed(id, QueryRouter.Outcome.MOOT, null), engine);
        }
    }

    @Override
    public void subscribeRoster() {
        // Changes come by themselves: the list of engines is followed from the start.
    }

    @Override
    public void log(String text) {
        LOG.info("{}", text);
    }

    // ---- Endings
    // ---------------------------------------------------------------------------------------
    /**
     * Marks the one final answer; the slot lives on while an attempt is out, so that its end finds
     * it.
     */
    private void close(Request request, Ending ending) {
        request.answered = true;
        figures.ended(request.queryClass, ending);
        watcher.answered(
                request.id,
                request.queryClass,
                ending,
                request.attempts,
                clock.now() - request.takenAt);
        requests.remove(request.handle);
        if (request.out != null) {
            giveUp(request.out, QueryRouter.Outcome.CANCELLED);
        } else {
            left(request);
        }
    }

    private void giveUp(Attempt attempt, QueryRouter.Outcome outcome) {
        if (attempts.get(attempt.handle) != null) {
            engines.stop(attempt);
            end(attempt, outcome, null, null);
        }
    }

    /** Its engine has heard by now that it was called off. */
    private void attemptCalledOff(long now, long handle) {
        Attempt attempt = attempts.get(handle);
        if (attempt != null) {
            end(attempt, QueryRouter.Outcome.CANCELLED, null, null);
        }
    }

    private void attemptDue(long now, long handle) {
        Attempt attempt = attempts.get(handle);
        if (attempt != null && !attempt.request.streaming) {
            giveUp(attempt, QueryRouter.Outcome.TIMEOUT);
        }
    }

    /** The last guard against a lost request: the module normally answers just before this. */
    private void requestDue(long now, long handle) {
        Request request = requests.get(handle);
        if (request != null && !request.streaming) {
            tell(
                    r -> {
                        if (request.told) {
                            fail(handle);
                        } else { // It has waited for its key or for room all the time.
                            refuse(handle, 0);
                        }
                        r.abandoned(now, handle);
                    });
        }
    }

    /**
     * Tells the module of ends in order; those that come while it acts wait, as it must not be
     * re-entered.
     */
    private void settle() {
        if (inModule || settling) {
            return;
        }
        settling = true;
        try {
            for (End end = ends.poll(); end != null; end = ends.poll()) {
                settle(end);
            }
        } finally {
            settling = false;
        }
    }

    private void settle(End end) {
        Attempt attempt = end.attempt;
        Request request = attempt.request;
        if (request.out == attempt) {
            request.out = null;
            request.before = attempt;
        }
        if (request.answered) { // It ended before its attempt did.
            left(request);
        }
        request.riskSince =
                request.mayHaveRun || !end.outcome.mayHaveRun ? request.riskSince : attempt.sentAt;
        request.mayHaveRun |= end.outcome.mayHaveRun;
        engines.over(attempt, end.outcome, end.report);
        boolean serves = end.outcome == QueryRouter.Outcome.OK && !request.answered;
        long now = clock.now();
        if (end.word && !request.answered) {
            close(request, Ending.FAILED);
            request.front.concluded(request.tag, end.result);
        } else if (request.streaming
                && !serves
                && !request.answered) { // The client has seen a part: no other attempt.
            close(request, Ending.FAILED);
            request.front.failed(request.tag, Failure.CUT);
        } else if (serves) {
            close(request, Ending.SERVED);
            request.front.served(request.tag, end.result);
        }
        tell(
                r ->
                        r.ended(
                                now,
                                new QueryRouter.AttemptEnd(
                                        request.handle,
                                        attempt.number,
                                        attempt.engine,
                                        end.outcome,
                                        request.answered,
                                        now - attempt.sentAt,
                                        0,
                                        0,
                                        end.report)));
    }

    private interface Event {
        void to(QueryRouter router);
    }

    /**
     * One event to the module. A fault in it costs that event; the deadline still answers the
     * request.
     */
    private void tell(Event event) {
        inModule = true;
        try {
            event.to(router);
        } catch (RuntimeException e) {
            if (faults++ < 20) {
                LOG.error("the decision module failed", e);
            }
        } finally {
            inModule = false;
        }
        settle();
    }
}
