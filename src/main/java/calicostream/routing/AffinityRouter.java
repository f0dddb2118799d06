// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Every decision of the gateway. The interface - events, actions, records - is in QueryRouter.java.
 * Sections follow a query's life: start and roster, arrival, guards, choice (P-DACA), sending,
 * news, results, endings, health, reports, the tick. Times are microseconds; work is
 * core-microseconds.
 */
public final class AffinityRouter implements QueryRouter {
    // ---- Tuned values
    // -------------------------------------------------------------------------------
    static final int W1 =
            6; // rank under which a set engine is chosen: warm tables are worth a wait
    static final int W2 = 3; // the same for an outsider, which has to read the tables first
    static final long SET_IDLE = 20_000_000; // us until an unused set member leaves (design page)
    static final long GROUP_IDLE =
            60_000_000; // us until an unused group is forgotten: past any deadline
    static final double ROOM =
            1.9; // threads per told core at most: work done falls beyond one to two
    static final double BLIND_ROOM =
            2.7; // the same where no report tells of cores: a third waits for disks
    static final long TICK = 50_000; // us between ticks: short against the aims
    static final long STANDSTILL = 400_000; // us without a tick after which silence is our own
    static final double SMOOTH = 1_000_000; // us over which loads are smoothed: a few queries' time
    static final double REPORT_FADE =
            2_500_000; // us in which trust in a report falls to a third: run times
    static final double USUAL_WEIGHT =
            0.08; // of one report in what is usual in the fleet: some ten count
    static final double LONG =
            20_000_000; // us over which a gateway with few queries learns what is usual
    static final double LOAD_STEP =
            0.25; // threads a core that tell loads apart where most of it is others'
    static final double BUSY_FULL =
            0.85; // busy share at which an engine's room is used up: its capacity
    static final double REPORT_WEIGHT =
            0.4; // at most, of one report against earlier ones: they are noisy
    static final int SHORTLIST =
            12; // outsiders weighed for a query: more would cost warm tables and probes
    static final int LOOKS =
            2; // engines asked for their load before a query goes: two find most of the best
    static final double LOOK_SHARE = 0.2; // of queries look at least: a quiet fleet may fill unseen
    static final long LOOK_FRESH =
            150_000; // us for which a report is as good as a new one: they are as late
    static final double PROBES =
            3; // a core and second from all gateways: engines answer some four at least
    static final long LOOK_WAIT =
            30_000; // us that a query waits for the answers: short against the aims
    static final long LOOK_GAP =
            250_000; // us between looks for one query: reports change no faster
    static final double LEARN = 0.03; // weight of one query in what is learned: some thirty count
    static final int DOUBT = 2; // answers that the assumption before the first one counts for
    static final double LEARN_CLIP = 1.5; // largest log step: one bad plan must not set the scale
    static final double GRANT_SIGMAS =
            1.4; // deviations over mean need in a grant: spills cost more
    static final double FIRST_WORK =
            1_000_000; // us of work of a class that nothing has told of yet
    static final double MOVE_GAIN =
            2.0; // an attempt moves when it has this many fresh runs before it
    static final double HOPELESS =
            0.7; // part of the projected rest that must miss the deadline to give up
    static final double SILENCE_RUNS =
            10; // expected runs without an answer, where there are no notes
    static final double SILENCE_NOTES = 1.4; // periods of progress notes without one
    static final long BENCH_FIRST =
            1_000_000; // us on the bench before a trial, doubled at each failed one
    static final long BENCH_LONGEST =
            8_000_000; // us: shorter than most troubles, so recovery is seen
    static final long TRIAL_GAP = 500_000; // us between trials: what errs at once would draw all
    static final int STRIKES = 3; // errors in a row that bench; a broken connection does so at once
    static final double BROKEN_STRIKE =
            0.4; // strikes for a broken connection: the network breaks them, too
    static final double SUSPECTS =
            0.34; // of the fleet benched on suspicion at most: beyond that it is load
    static final double SLOWEST = 6; // slowdown that one answer may suggest: a stray one is no rule

    static final double COLD_PART =
            0.8; // part of the cold allowance used at most: usual work is an estimate
    static final int TURNS =
            4; // to a window of the rule on cold engines: shorter ones waste less of it
    static final int KNOWN_RUNS =
            10; // answers after which a class's run time tells more than the guess
    static final double LEAST_RISES =
            1.002; // an answer: the least run time of a class is forgotten
    static final double CORE_YIELD = 0.75; // work of a told core at capacity: 85% busy, some slower
    static final long ANSWER_TICKS =
            2; // ticks before the client's deadline at which we end a query
    static final double QUOTA_CHANCE =
            4; // queries that a tenant may save up besides a second of its quota
    static final double VALUABLE = 2.0; // worth for work, against the mean, for top priority
    static final long STAY_AWAY =
            300_000; // us a client turned away is asked to wait: a few look-ups' time
    static final int PUMP_MISSES = 6; // held queries that may find no room before the rest wait
    static final double PRICE_PULL = 100; // at a price of 1% of worth an engine leads half as often
    static final double EASY = 1.0; // threads a core, under the knee, up to which price leads
    static final int HOMES = 10; // engines that a gateway keeps to where connections cost
    static final long HASH_SPREAD =
            0x9E3779B97F4A7C15L; // odd and irregular: neighbours in, strangers out
    static final long ROSTER_RETRY =
            1_000_000; // us before a failed request for the roster is made again
    static final long TICK_TOKEN = 0; // timer token of the tick; queries use their id plus one

    // ---- State
    // --------------------------------------------------------------------------------------
    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    /** An engine as this gateway knows it. */
    private static final class Node {
        final long id;
        final List<Job> running = new ArrayList<>();
        final ArrayDeque<double[]> coldSent = new ArrayDeque<>();
        final List<Job> lookers = new ArrayList<>();
        EngineEndpoint entry;
        double cores, ownThreads, others, price;
        double strikes;
        boolean probing, benched, owed;
        long askAt,
                reportAt = LONG_AGO,
                coldFrom = LONG_AGO,
                benchedUntil,
                nextTrial,
                bench = BENCH_FIRST;

        Node(long id) {
            this.id = id;
        }
    }

    /** A group of tables: affinity engines with the time of last use, and its loads by engine. */
    private static final class Group {
        final int number;
        final TreeMap<Long, Long> set = new TreeMap<>();
        final Map<Long, Integer> loads = new HashMap<>();
        final List<Node> order = new ArrayList<>();
        int orderOf = -1;
        final double[] work = new double[2];
        long usedAt;

        Group(int number) {
            this.number = number;
        }
    }

    /**
     * How far true figures lie from estimates: mean and variance of the natural log of their ratio.
     */
    private static final class Bias {
        double mean, spread = 0.25;
        int seen;

        void learn(double truth, double estimate) {
            if (truth <= 0 || estimate <= 0) {
                return;
            }
            double step =
                    Math.min(LEARN_CLIP, Math.max(-LEARN_CLIP, Math.log(truth / estimate) - mean));
            double weight = Math.max(LEARN, 1.0 / (++seen + DOUBT));
            spread += (step * step - spread) * weight;
            mean += step * weight;
        }

        double upper(double sigmas) {
            return Math.exp(mean + sigmas * Math.sqrt(spread));
        }
    }

    private static final class Learned {
        final Bias cost = new Bias(), memory = new Bias();
        final double[] asked = new double[2];
        double usual, run, least, weight;
        int seen, runs;
    }

    /** Queries of one key in the order accepted, and what must settle before the next may start. */
    private static final class Key {
        final ArrayDeque<Job> line = new ArrayDeque<>();
        int unsettled;
        long restUntil;
    }

    /** A query in hand; {@code at} is the engine of its one attempt that is out. */
    private static final class Job {
        final Query query;
        final QueryClass spec;
        final Learned learned;
        final Group group;
        final Key key;
        final long due, deadline;
        final double cost, dither;
        final boolean overShare;
        double value;
        int attempts, looking;
        Node at, avoid, erredAt;
        EngineEndpoint riskAt;
        long sentAt, newsAt, riskUntil, lookedAt = LONG_AGO;
        boolean cancelled, mayHaveRun, streaming, done, late, unusable, moved;

        Job(
                long now,
                Query query,
                QueryClass spec,
                Learned learned,
                Group group,
                Key key,
                boolean beyond) {
            this.query = query;
            this.spec = spec;
            this.learned = learned;
            this.group = group;
            this.key = key;
            overShare = beyond;
            cost = cost(query, learned);
            dither = new SplittableRandom(query.id()).nextDouble();
            deadline = now + query.timeLeftUs();
            due =
                    Math.min(
                            deadline,
                            now
                                    + spec.latencyObjectiveUs()
                                    + (long)
                                            (spec.latencyObjectiveStretch()
                                                    * cost
                                                    / spec.threads()));
        }
    }

    private final RouterSettings settings;
    private final RouterActions actions;
    private final TreeMap<Long, Node> nodes = new TreeMap<>();
    private final TreeMap<Integer, Group> groups = new TreeMap<>();
    private final Map<Long, Job> jobs = new LinkedHashMap<>();
    private final Map<Long, Key> keys = new HashMap<>();
    private final TreeSet<Job> held =
            new TreeSet<>(
                    Comparator.comparingDouble((Job job) -> -job.value)
                            .thenComparingLong(job -> job.query.id()));
    private final Learned[] learned;
    private final double[] tokens;
    private final double[] work = new double[2],
            asked = new double[2]; // sums and times, as in each group
    private final ArrayDeque<Long> takenAt = new ArrayDeque<>(), extraAt = new ArrayDeque<>();
    private double ownThreads, smoothThreads, smoothQueries, fleetCores, usual;
    private double room = BLIND_ROOM, slowdown = 1.3, meanWorth, meanCost;
    private int rosterChanges, benched, ownQueries, processes = 1, place;
    private long reports, lastTick, lastQuery, forgetAt, keysRest, awakeAt = LONG_AGO;
    private long askRosterAt = Long.MAX_VALUE;

    public AffinityRouter(RouterSettings settings, RouterActions actions) {
        this.settings = settings;
        this.actions = actions;
        learned = new Learned[settings.classes().size()];
        Arrays.setAll(learned, i -> new Learned());
        tokens = new double[settings.tenants().size()];
    }

    // ---- Start and roster
    // ---------------------------------------------------------------------------
    @Override
    public void start(long now) {
        lastTick = now;
        keysRest =
                now
                        + settings.protectionRules()
                                .keyQuietPeriodUs(); // What was here before may have left one
        // running.
        if (settings.watchEndpointsOnRequest()) {
            actions.watchEndpoints();
        }
        actions.scheduleTimer(TICK, TICK_TOKEN);
    }

    @Override
    public void endpointsChanged(long now, EndpointUpdate kind, List<EngineEndpoint> engines) {
        if (kind == EndpointUpdate.FAILED) {
            askRosterAt = now + ROSTER_RETRY;
            return;
        }
        if (kind != EndpointUpdate.INCREMENTAL) {
            Set<Long> named = new HashSet<>();
            engines.forEach(e -> named.add(e.id()));
            nodes.values().stream()
                    .filter(n -> !named.contains(n.id))
                    .forEach(n -> n.entry = n.entry.withLifecycle(EngineLifecycle.REMOVED));
        }
        engines.forEach(e -> list(now, e, kind == EndpointUpdate.CACHED));
        rosterChanges++;
        fleetCores = 0;
        nodes.values().stream().filter(AffinityRouter::ready).forEach(n -> fleetCores += n.cores);
        nodes.values().stream().filter(n -> !ready(n)).forEach(this::forgive);
        nodes.values().removeIf(n -> !ready(n) && n.running.isEmpty() && !cold(n, now));
        Predicate<Long> off = id -> !nodes.containsKey(id) || !ready(nodes.get(id));
        groups.values().forEach(g -> g.set.keySet().removeIf(off));
        price();
        pump(now);
    }

    /**
     * Another zone costs, and so do engines beyond the few of this gateway's own, whose connections
     * stay.
     */
    private void price() {
        boolean few = settings.costs().handshake() <= 0;
        Comparator<Node> order =
                Comparator.comparing((Node n) -> n.entry.zone() != settings.zone());
        List<Node> homes =
                nodes.values().stream()
                        .filter(AffinityRouter::ready)
                        .sorted(order.thenComparingDouble(n -> hash(n, settings.index())))
                        .limit(HOMES)
                        .toList();
        nodes.values()
                .forEach(
                        n ->
                                n.price =
                                        (few || homes.contains(n)
                                                        ? 0
                                                        : settings.costs().handshake())
                                                + (n.entry.zone() == settings.zone()
                                                        ? 0
                                                        : settings.costs().crossZone()));
    }

    private static double hash(Node n, long with) {
        return new SplittableRandom(n.id * HASH_SPREAD + with).nextDouble();
    }

    private void list(long now, EngineEndpoint e, boolean cached) {
        Node n = nodes.computeIfAbsent(e.id(), id -> new Node(id));
        boolean restarted = n.entry != null && e.startedAtUs() > n.entry.startedAtUs();
        boolean fresh = n.entry == null;
        n.entry = e;
        boolean known = e.kind() < settings.engineKinds().size();
        n.cores = known ? Math.max(1, settings.engineKinds().get(e.kind()).cores()) : 1;
        n.coldFrom = e.startedAtUs() > 0 ? Math.max(n.coldFrom, e.startedAtUs()) : n.coldFrom;
        if (restarted) {
            forgive(n);
            n.reportAt = LONG_AGO;
        }
        if (fresh && cached && processes == 1 && cold(n, now)) { // Restarted: our part is spent.
            n.coldSent.add(new double[] {now, Double.MAX_VALUE, -1});
        }
    }

    private static boolean ready(Node n) {
        return n.entry.lifecycle() == EngineLifecycle.READY;
    }

    // ---- Arrival
    // ------------------------------------------------------------------------------------
    @Override
    public void queryAccepted(long now, Query q) {
        takenAt.add(now);
        if (q.queryClass() >= learned.length) {
            actions.reject(q.id(), 0);
            return;
        }
        QueryClass usualSpec = settings.classes().get(q.queryClass());
        QueryClass spec = q.stickyEngine() == 0 ? usualSpec : usualSpec.asNonIdempotent();
        Learned known = learned[q.queryClass()];
        double cost = cost(q, known);
        if (q.estimatedWorkUs() > 0) {
            known.usual += (cost - known.usual) * Math.max(LEARN, 1.0 / ++known.seen);
        }
        Key key =
                spec.orderedByKey() && q.key() != 0
                        ? keys.computeIfAbsent(q.key(), k -> new Key())
                        : null;
        Group group = groups.computeIfAbsent(q.tableGroup(), Group::new);
        group.usedAt = now;
        Job job = new Job(now, q, spec, known, group, key, overShare(now, q.tenant()));
        double worth = spec.priorityWeight() * (job.overShare ? settings.overQuotaWeight() : 1);
        job.value = worth / Math.max(cost, 1);
        meanWorth += (spec.priorityWeight() - meanWorth) * LEARN;
        meanCost += (cost - meanCost) * LEARN;
        jobs.put(q.id(), job);
        double run =
                known.run * spec.threads(); // Holds waits; bounds estimates that no answer sets
        // right.
        double most = known.cost.seen == 0 && known.runs >= KNOWN_RUNS ? run : known.usual;
        boolean guess = known.usual <= 0 || known.least > 0;
        known.weight = guess ? Math.max(cost, run) : Math.min(most, known.usual);
        faded(known.asked, now, known.weight);
        faded(asked, now, known.weight);
        faded(group.work, now, Math.min(cost, known.usual));
        faded(work, now, Math.min(cost, known.usual));
        if (key != null) {
            key.line.add(job);
        }
        actions.scheduleTimer(
                Math.max(1, q.timeLeftUs() - ANSWER_TICKS * settings.tickUs()), q.id() + 1);
        if (!place(now, job)) {
            held.add(job);
        }
    }

    /**
     * The estimate set right by what answers taught; the usual work of the class where there is
     * none.
     */
    private static double cost(Query q, Learned known) {
        double usual = known.usual > 0 ? known.usual : FIRST_WORK;
        return q.estimatedWorkUs() <= 0 ? usual : q.estimatedWorkUs() * known.cost.upper(0);
    }

    /**
     * Whether the tenant is beyond its share, as far as this gateway's part of the traffic tells.
     */
    private boolean overShare(long now, int tenant) {
        double seconds = (now - lastQuery) / 1e6;
        double own = smoothThreads / Math.max(1, fleetCores);
        double part = Math.max(0.5 / settings.gateways(), own / Math.max(1e-9, own + usual));
        lastQuery = now;
        for (int i = 0; i < tokens.length; i++) {
            double quota = settings.tenants().get(i).queriesPerSecond() * part;
            tokens[i] = Math.min(quota + QUOTA_CHANCE, tokens[i] + quota * seconds);
        }
        boolean beyond =
                tenant < tokens.length
                        && settings.tenants().get(tenant).queriesPerSecond() > 0
                        && tokens[tenant] < 1;
        if (!beyond && tenant < tokens.length) {
            tokens[tenant]--;
        }
        return beyond;
    }

    /** Groups of tables that something is kept for. */
    int groupsKept() {
        return groups.size();
    }

    // ---- Guards: which engines a query may go to
    // ----------------------------------------------------
    /**
     * Set engines and the next outsiders that may take the query; doubtful ones only if no sound
     * one may.
     */
    private List<Node> eligible(long now, Job job) {
        List<Node> out = new ArrayList<>();
        List<Node> shy = new ArrayList<>();
        List<Node> despite = new ArrayList<>();
        // An error at once costs little, but not a query that may not go again, nor one that has
        // been tried.
        boolean mayErr = job.attempts == 0 && job.spec.idempotency() == Idempotency.IDEMPOTENT;
        boolean anySound = false;
        int outsiders = 0;
        for (Node n : order(job.group)) {
            boolean member = job.group.set.containsKey(n.id) || cold(n, now);
            if ((member || outsiders < SHORTLIST) && lawful(now, job, n)) {
                boolean sound = !n.benched && n != job.avoid;
                boolean due = n.benched && now >= Math.max(n.benchedUntil, n.nextTrial);
                boolean trial =
                        n != job.avoid
                                && (due && n.running.isEmpty() || n.owed && room(now, job, n));
                if (trial && job.spec.idempotency() == Idempotency.IDEMPOTENT) {
                    return List.of(n);
                }
                anySound |= sound;
                outsiders += sound && !member ? 1 : 0;
                if (room(now, job, n)) {
                    (!sound ? despite : n.strikes == 0 || mayErr ? out : shy).add(n);
                }
            }
        }
        return !anySound ? despite : out.isEmpty() ? shy : out;
    }

    /**
     * All engines by a hash of group and engine: gateways lean the same way unasked, so tables stay
     * warm.
     */
    private List<Node> order(Group g) {
        if (g.orderOf != rosterChanges) {
            g.orderOf = rosterChanges;
            g.order.clear();
            g.order.addAll(nodes.values());
            g.order.sort(Comparator.comparingDouble(n -> lean(g, n)));
        }
        return g.order;
    }

    /**
     * What the rules allow: state, placement, repeats by key, cold starts, budgets. None ever
     * yields.
     */
    private boolean lawful(long now, Job job, Node n) {
        QueryClass spec = job.spec;
        boolean placed =
                (spec.zones().isEmpty() || spec.zones().contains(n.entry.zone()))
                        && (spec.kinds().isEmpty() || spec.kinds().contains(n.entry.kind()));
        boolean here = job.query.stickyEngine() == 0 || job.query.stickyEngine() == n.id;
        return here
                && ready(n)
                && placed
                && repeatable(now, job, n.entry)
                && warmEnough(now, job, n)
                && actions.hasTenantCapacity(job.query.id(), n.id);
    }

    private static boolean repeatable(long now, Job job, EngineEndpoint e) {
        if (!job.mayHaveRun || job.spec.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        if (job.spec.idempotency() == Idempotency.NON_IDEMPOTENT || now >= job.riskUntil) {
            return false;
        }
        return job.spec.idempotencyScope() == IdempotencyScope.ALL
                || job.spec.idempotencyScope() == IdempotencyScope.ZONE
                        && e.zone() == job.riskAt.zone()
                || job.spec.idempotencyScope() == IdempotencyScope.CELL
                        && e.cell() == job.riskAt.cell();
    }

    private boolean cold(Node n, long now) {
        return now < n.coldFrom + settings.protectionRules().warmUpUs();
    }

    /**
     * What this gateway may send a cold engine in the rule's window: an equal part of the work. A
     * class whose queries are more than that has its share of it apart, and gateways take turns by
     * number: one query a turn, so often that all turns which touch a window stay within it. Rare
     * ones have longer turns.
     */
    private boolean warmEnough(long now, Job job, Node n) {
        ProtectionRules r = settings.protectionRules();
        double window = r.slowStartWindowUs();
        n.coldSent.removeIf(each -> each[0] <= now - window);
        if (!cold(n, now)) {
            return true;
        }
        Learned known = job.learned;
        int all = Math.max(settings.gateways(), settings.index() + 1) * processes;
        double most =
                COLD_PART
                        * r.slowStartMultiple()
                        * r.slowStartShare()
                        * n.cores
                        * CORE_YIELD
                        * window
                        / all;
        boolean apart = most < known.weight;
        Predicate<Learned> along = other -> apart ? other == known : other.weight <= most;
        double sent =
                n.coldSent.stream()
                        .mapToDouble(e -> e[2] < 0 || along.test(learned[(int) e[2]]) ? e[1] : 0)
                        .sum();
        double share =
                Arrays.stream(learned).filter(along).mapToDouble(o -> faded(o.asked, now, 0)).sum();
        double part = most * share / Math.max(1, faded(asked, now, 0));
        double rare = Math.sqrt(2 * window * LONG * known.weight / share);
        double turn = Math.min(2 * window, Math.max(window / TURNS, rare));
        double cycle = (window + turn) * known.weight / part;
        long number =
                Math.floorMod(
                        settings.index() * processes + place + (n.id * HASH_SPREAD >>> 33), all);
        boolean inTurn =
                apart && sent <= 0 && (now - n.coldFrom + cycle * number / all) % cycle < turn;
        return inTurn || sent + known.weight <= part;
    }

    /** Sessions: threads in hand, own and others', stay under what the cores do well. */
    private boolean room(long now, Job job, Node n) {
        // A load stops other loads and waiting classes of its group on its engine: keep these
        // apart.
        boolean blocked =
                (job.spec.load() || job.spec.waitsForLoads()) && job.group.loads.containsKey(n.id);
        return !blocked
                && n.ownThreads + others(n, now, job.dither) + job.spec.threads() <= room * n.cores;
    }

    /** Trust in an engine's last report, from 1 down to 0 as it ages. */
    private static double trust(Node n, long now) {
        return Math.exp((n.reportAt - now) / REPORT_FADE);
    }

    /**
     * Threads of other gateways on an engine: its report, fading into what is usual in the fleet.
     * What is not known is taken higher for some queries than for others, so that many gateways in
     * doubt send a part.
     */
    private double others(Node n, long now, double dither) {
        double trust = trust(n, now);
        double unseen =
                cold(n, now) ? 0 : 1 - trust; // What a cold engine holds is kept low by its guard.
        return trust * n.others + unseen * usual * (0.5 + dither) * n.cores;
    }

    private boolean mayStart(long now, Job job) {
        Key key = job.key;
        boolean inTurn =
                key == null
                        || key.line.peek() == job
                                && key.unsettled == 0
                                && now >= Math.max(keysRest, key.restUntil);
        return job.attempts == 0 ? inTurn : ration(now);
    }

    /** Whether a further attempt stays within the ration of further attempts. */
    private boolean ration(long now) {
        ProtectionRules r = settings.protectionRules();
        forget(takenAt, now - r.retryBudgetWindowUs() + 1);
        forget(extraAt, now - r.retryBudgetWindowUs());
        return r.retryBudgetWindowUs() <= 0
                || extraAt.size() + 1
                        <= r.retryBudgetFree() / processes + r.retryBudgetRatio() * takenAt.size();
    }

    private static void forget(ArrayDeque<Long> times, long until) {
        while (!times.isEmpty() && times.peek() < until) {
            times.poll();
        }
    }

    // ---- Choice: P-DACA
    // -----------------------------------------------------------------------------
    private Node choose(long now, Job job, List<Node> from) {
        Group g = job.group;
        g.set.values().removeIf(used -> now - used > SET_IDLE);
        if (g.set.isEmpty() || overloaded(now, g)) {
            gainLeastLoaded(now, g, from);
        }
        Predicate<Node> inSet = n -> g.set.containsKey(n.id);
        Comparator<Node> told = leastLoaded(now);
        Comparator<Node> order =
                Comparator.comparingInt((Node n) -> rank(job, n)).thenComparing(told);
        Node inside = first(from, inSet, order);
        if (inside != null && rank(job, inside) < W1) {
            return inside;
        }
        Node outside = first(from, inSet.negate(), order);
        if (outside != null && rank(job, outside) < W2) {
            return outside;
        }
        return first(from, inside != null ? inSet : n -> true, told);
    }

    private static int rank(Job job, Node n) {
        return (int) n.running.stream().filter(other -> other.due < job.due).count();
    }

    /** Threads a core on an engine: its report where one is fresh, with own queries. */
    private double load(Node n, long now) {
        return (n.ownThreads + others(n, now, 0.5)) / n.cores;
    }

    private double mean() {
        return ownThreads / Math.max(1, fleetCores) + usual;
    }

    private static Node first(List<Node> from, Predicate<Node> fit, Comparator<Node> order) {
        return from.stream().filter(fit).min(order).orElse(null);
    }

    /**
     * Least load in steps, the lowest price first where it is easy; equal ones go by the group's
     * order.
     */
    private Comparator<Node> leastLoaded(long now) {
        double unseen = usual / Math.max(1e-9, mean());
        double step = Math.max(1e-6, LOAD_STEP * unseen * unseen);
        double easy = settings.costs().handshake() > 0 ? EASY : 0;
        return Comparator.comparingLong((Node n) -> (long) (Math.max(easy, load(n, now)) / step))
                .thenComparingDouble(n -> n.price)
                .thenComparingLong(n -> (long) (load(n, now) / step));
    }

    /**
     * Place of an engine in a group's order, by hash; where crossing zones costs, the own zone
     * leads.
     */
    private double lean(Group g, Node n) {
        return (1 + PRICE_PULL * n.price) * -Math.log(Math.max(1e-12, hash(n, g.number)));
    }

    private void gainLeastLoaded(long now, Group g, List<Node> from) {
        Node gained = first(from, n -> !g.set.containsKey(n.id), leastLoaded(now));
        if (gained != null) {
            g.set.put(gained.id, now);
        }
    }

    /**
     * Overload: the group's part of our work tops its set's part of the cores, by what that
     * reports.
     */
    private boolean overloaded(long now, Group g) {
        double load = 0;
        double cores = 0;
        for (long id : g.set.keySet()) {
            load += load(nodes.get(id), now);
            cores += nodes.get(id).cores;
        }
        double part = faded(g.work, now, 0) / Math.max(1, faded(work, now, 0));
        double strain = Math.max(1, load / g.set.size() / Math.max(LOAD_STEP, mean()));
        return part * strain > cores / Math.max(1, fleetCores);
    }

    /** A sum whose old parts fade, with an amount added. */
    private static double faded(double[] sum, long now, double add) {
        sum[0] = sum[0] * Math.exp((sum[1] - now) / LONG) + add;
        sum[1] = now;
        return sum[0];
    }

    // ---- Sending
    // ------------------------------------------------------------------------------------
    /** Sends the query if something may take it now. */
    private boolean place(long now, Job job) {
        if (job.at != null || job.done || !mayStart(now, job)) {
            return false;
        }
        List<Node> from = eligible(now, job);
        if (from.isEmpty() || look(now, job, from)) {
            return false;
        }
        send(now, job, choose(now, job, from));
        return true;
    }

    /**
     * Asks the first engines in question for their load, unless it is known; whether to wait for
     * that.
     */
    private boolean look(long now, Job job, List<Node> from) {
        boolean told =
                settings.attemptLimits().probes() && settings.loadReporting() != LoadReporting.NONE;
        if (!told
                || job.dither
                        > LOOK_SHARE + mean() / ROOM) { // A quiet fleet is looked at now and then.
            return false;
        }
        if (now - job.lookedAt >= LOOK_GAP) {
            job.lookedAt = now;
            job.looking = 0;
            for (int i = 0; i < Math.min(LOOKS, from.size()); i++) {
                Node n = from.get((int) ((job.query.id() + i) % from.size()));
                boolean stale = now - n.reportAt > LOOK_FRESH;
                if (stale && !n.probing && now >= n.askAt) {
                    n.probing = true;
                    n.askAt =
                            now
                                    + (long)
                                            (1e6
                                                    * settings.gateways()
                                                    * processes
                                                    / (PROBES * n.cores));
                    actions.probeLoad(n.id);
                }
                if (stale && n.probing) {
                    job.looking++;
                    n.lookers.add(job);
                }
            }
        }
        return job.looking > 0 && now - job.lookedAt < LOOK_WAIT;
    }

    private void send(long now, Job job, Node n) {
        if (job.attempts > 0) {
            extraAt.add(now);
        }
        if (cold(n, now)) {
            n.coldSent.add(new double[] {now, job.learned.weight, job.query.queryClass()});
        }
        held.remove(job);
        n.nextTrial = now + TRIAL_GAP;
        n.owed = false;
        job.at = n;
        job.sentAt = now;
        job.newsAt = now;
        job.cancelled = false;
        n.running.add(job);
        count(job, n, 1);
        if (job.group.set.containsKey(n.id)) {
            job.group.set.put(n.id, now);
        }
        terms(now, job);
        job.attempts++;
        actions.startAttempt(job.query.id(), n.id, 0);
    }

    private void count(Job job, Node n, int sign) {
        double threads = sign * job.spec.threads();
        n.ownThreads += threads;
        ownThreads += threads;
        ownQueries += sign;
        if (job.spec.load()) {
            job.group.loads.merge(n.id, sign, Integer::sum);
            job.group.loads.remove(n.id, 0);
        }
    }

    /**
     * Grant: the need that answers taught for the class, with its spread. Priority: worth for work.
     */
    private void terms(long now, Job job) {
        Bias memory = job.learned.memory;
        double grant =
                memory.seen > 0 ? job.query.estimatedMemoryMb() * memory.upper(GRANT_SIGMAS) : 0;
        int priority = job.value * meanCost > VALUABLE * meanWorth ? 3 : 1;
        if (settings.engineCapabilities().memoryGrants()
                || settings.engineCapabilities().priorities()) {
            actions.assignResources(
                    job.query.id(), grant, job.overShare || now > job.due ? 0 : priority);
        }
    }

    private double freshRun(Job job) {
        return job.cost / job.spec.threads() * slowdown;
    }

    // ---- News of running attempts
    // -------------------------------------------------------------------
    @Override
    public void streamStarted(long now, long query, int attempt) {
        Job job = jobs.get(query);
        if (job != null && job.at != null) {
            job.streaming = true;
        }
    }

    @Override
    public void progress(long now, QueryProgress p) {
        Job job = jobs.get(p.query());
        if (job == null || job.at == null || p.attempt() != job.attempts - 1) {
            return;
        }
        job.newsAt = now;
        if (p.kind()
                == ProgressKind
                        .WAITING_FOR_MEMORY) { // The engine is full, whatever its cores report.
            view(now, job.at, room * job.at.cores, REPORT_WEIGHT);
        }
        boolean shows =
                settings.loadReporting() != LoadReporting.NONE; // Whether cancels free engines.
        if (shows
                && p.kind() == ProgressKind.FRACTION_DONE
                && !job.done
                && !job.cancelled
                && !job.streaming) {
            judge(now, job, Math.min(1, Math.max(0.005, p.amount())));
        }
    }

    /** A bad plan, or an engine gone slow, shows as a run far longer than a fresh one would be. */
    private void judge(long now, Job job, double share) {
        double left = (now - job.sentAt) * (1 - share) / share;
        double gain = settings.costs().handshake() > 0 ? 2 * MOVE_GAIN : MOVE_GAIN; // May need one.
        double doubt = gain * Math.exp(Math.sqrt(job.learned.cost.spread));
        if (left > doubt * Math.max(freshRun(job), job.learned.run)
                && !job.moved
                && mayMove(now, job)) {
            job.moved = true; // As slow on another engine, it is the query that is long.
            stop(job);
        } else if (now + left * HOPELESS > job.deadline && settings.attemptLimits().cancel()) {
            finish(now, job, false);
        }
    }

    private boolean mayMove(long now, Job job) {
        return settings.attemptLimits().cancel()
                && job.spec.idempotency() == Idempotency.IDEMPOTENT
                && job.attempts < settings.attemptLimits().maxAttempts()
                && ration(now)
                && now + freshRun(job) < job.deadline;
    }

    // ---- Results
    // ------------------------------------------------------------------------------------
    @Override
    public void attemptEnded(long now, AttemptResult end) {
        Node told = nodes.get(end.engine());
        if (told != null && end.loadReport() != null) {
            report(now, told, end.loadReport());
        }
        Job job = jobs.get(end.query());
        if (job == null || job.at == null || end.attempt() != job.attempts - 1) {
            return;
        }
        Node at = job.at;
        job.at = null;
        at.running.remove(job);
        count(job, at, -1);
        settleKey(now, job, end.outcome());
        note(now, job, at, end);
        if (end.requestAnswered() || end.outcome() == AttemptOutcome.OK || job.done) {
            close(job);
        } else {
            again(now, job, at, end.outcome());
        }
        pump(now);
    }

    private void settleKey(long now, Job job, AttemptOutcome outcome) {
        if (job.key == null) {
            return;
        }
        if (outcome == AttemptOutcome.TIMEOUT
                || outcome == AttemptOutcome.RESET
                || outcome == AttemptOutcome.CONNECTION_BROKEN
                || outcome == AttemptOutcome.CANCELLED) {
            job.key.restUntil =
                    Math.max(
                            job.key.restUntil, now + settings.protectionRules().keyQuietPeriodUs());
        }
        job.key.unsettled -= job.done ? 1 : 0;
    }

    /**
     * What the outcome tells of the engine and of the class. An error may be the query's own: an
     * engine is struck for it once another one has served the same query.
     */
    private void note(long now, Job job, Node at, AttemptResult end) {
        AttemptOutcome outcome = end.outcome();
        if (outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.RESET) {
            at.coldFrom = now; // It may come back before the roster tells of it.
            bench(now, at, outcome);
        } else if (outcome == AttemptOutcome.CONNECTION_BROKEN
                || outcome == AttemptOutcome.TIMEOUT && at.benched) {
            strike(
                    now,
                    at,
                    outcome,
                    outcome == AttemptOutcome.CONNECTION_BROKEN ? BROKEN_STRIKE : 1);
        } else if (outcome == AttemptOutcome.ERROR) {
            job.unusable =
                    job.erredAt != null
                            && job.erredAt != at
                            && job.erredAt.strikes + at.strikes == 0;
            job.erredAt = at;
        } else if (outcome == AttemptOutcome.OVERLOADED) {
            view(now, at, 2 * room * at.cores, 1);
        } else if (outcome == AttemptOutcome.OK) {
            learn(job, at, end);
            if (job.sentAt >= at.benchedUntil) {
                forgive(at);
            }
            if (job.erredAt != null && job.erredAt != at) {
                strike(now, job.erredAt, AttemptOutcome.ERROR, 1);
            }
        }
    }

    private void learn(Job job, Node at, AttemptResult end) {
        Learned known = job.learned;
        known.run += (end.elapsedUs() - known.run) * Math.max(LEARN, 1.0 / ++known.runs);
        double work = end.workMs() * 1000;
        if (work > 0) {
            double time = end.elapsedUs() * job.spec.threads();
            slowdown += (Math.min(SLOWEST, time / work) - slowdown) * LEARN;
            known.cost.learn(work, job.query.estimatedWorkUs());
            if (job.query.estimatedWorkUs() <= 0) {
                known.usual += (work - known.usual) * Math.max(LEARN, 1.0 / ++known.seen);
            }
        }
        if (work <= 0 && job.query.estimatedWorkUs() <= 0 && known.runs >= KNOWN_RUNS) {
            // Nothing tells what it took: at most what its threads need where little else runs.
            known.least =
                    Math.min(known.run, known.least > 0 ? known.least * LEAST_RISES : known.run);
            known.usual = known.least * job.spec.threads();
        }
        known.memory.learn(end.memoryMb(), job.query.estimatedMemoryMb());
    }

    /**
     * The attempt failed: another one where class, number and time allow, else the final answer.
     */
    private void again(long now, Job job, Node at, AttemptOutcome outcome) {
        if (outcome.mayHaveRun && !job.mayHaveRun) {
            job.riskUntil = job.sentAt + job.spec.retryWindowUs();
            job.riskAt = at.entry;
            job.mayHaveRun = true;
        }
        job.avoid = at;
        boolean most = job.attempts >= settings.attemptLimits().maxAttempts();
        boolean spent = most || outcome == AttemptOutcome.NOT_STARTED || job.unusable;
        boolean allowed =
                !job.mayHaveRun
                        || job.spec.idempotency() == Idempotency.IDEMPOTENT
                        || job.spec.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                                && now < job.riskUntil;
        if (spent || !allowed || now >= job.deadline) {
            finish(now, job, now < job.due && !job.unusable);
        } else if (!place(now, job)) {
            held.add(job);
        }
    }

    // ---- Endings
    // ------------------------------------------------------------------------------------
    /** The final answer that is ours to give; a refusal only where it promises nothing false. */
    private void finish(long now, Job job, boolean refuse) {
        boolean harmless =
                job.spec.idempotency() == Idempotency.IDEMPOTENT
                        || job.at == null && !job.mayHaveRun
                        || job.spec.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                                && job.spec.idempotencyScope() == IdempotencyScope.ALL
                                && job.at == null;
        if (refuse && harmless) {
            actions.reject(job.query.id(), STAY_AWAY);
        } else {
            actions.fail(job.query.id());
        }
        close(job);
    }

    /** Calls the attempt off, if one is out; its end still comes. */
    private void stop(Job job) {
        if (job.at != null
                && !job.cancelled
                && !job.streaming
                && settings.attemptLimits().cancel()) {
            job.cancelled = true;
            actions.cancelAttempt(job.query.id(), job.attempts - 1);
        }
    }

    /** Nothing more goes out for the query; an attempt still out is waited for. */
    private void close(Job job) {
        boolean ending = !job.done;
        job.done = true;
        held.remove(job);
        stop(job);
        if (job.at == null) {
            jobs.remove(job.query.id());
        }
        if (ending && job.key != null) {
            job.key.line.remove(job);
            job.key.unsettled += job.at == null ? 0 : 1;
        }
    }

    @Override
    public void queryAbandoned(long now, long query) {
        Job job = jobs.get(query);
        if (job != null && !job.done) {
            close(job);
            pump(now);
        }
    }

    @Override
    public void timerFired(long now, long token) {
        if (token == TICK_TOKEN) {
            tick(now);
            return;
        }
        Job job = jobs.get(token - 1);
        if (job != null && !job.done && !job.streaming) {
            finish(now, job, false);
            pump(now);
        }
    }

    /** Gives held queries the room there is, the most worth for its work first. */
    private void pump(long now) {
        int misses = 0;
        for (Job job : new ArrayList<>(held)) {
            if (misses < PUMP_MISSES && mayStart(now, job)) {
                misses += place(now, job) ? 0 : 1;
            }
        }
    }

    /**
     * A held query that can no longer make its aim gives way; turned away when it would earn
     * nothing.
     */
    private void expire(long now) {
        for (Job job : new ArrayList<>(held)) {
            if (now + Math.max(freshRun(job), job.learned.run) > job.due && !job.late) {
                held.remove(job);
                job.late = true;
                job.value *= job.spec.lateWeightFactor();
                held.add(job);
            }
            boolean over = now + TICK >= (job.spec.lateWeightFactor() > 0 ? job.deadline : job.due);
            if (over || now + job.cost / job.spec.threads() > job.deadline) {
                finish(now, job, true);
            }
        }
    }

    // ---- Health
    // -------------------------------------------------------------------------------------
    private void strike(long now, Node n, Object why, double weight) {
        n.strikes += weight;
        if (n.strikes >= STRIKES) {
            bench(now, n, why);
        }
    }

    /** Takes an engine out; for a mere suspicion only while few are out: beyond that it is load. */
    private void bench(long now, Node n, Object why) {
        boolean hint =
                why == AttemptOutcome.CANCELLED; // How others fare moves the next trial alone.
        boolean sure = hint || why == AttemptOutcome.CONNECT_FAILED || why == AttemptOutcome.RESET;
        boolean known = hint ? !n.benched : n.benched && now < n.benchedUntil;
        if (known || !sure && benched >= SUSPECTS * nodes.size()) {
            return;
        }
        benched += n.benched ? 0 : 1;
        n.benchedUntil = now + n.bench;
        n.bench = Math.min(BENCH_LONGEST, n.bench * 2);
        n.benched = true;
        actions.log("bench " + Long.toHexString(n.id) + " " + why);
    }

    private void forgive(Node n) {
        benched -= n.benched ? 1 : 0;
        n.strikes = 0;
        n.benched = false;
        n.bench = BENCH_FIRST;
    }

    /**
     * A query whose note is overdue, or without notes its answer by far, is lost: move it, strike
     * the engine. Meant for hangs, lost messages, crashes and cut links that nothing reports. A
     * late note costs the work.
     */
    private void checkSilence(long now, Job job) {
        long notes = settings.engineCapabilities().progressPeriodUs();
        double patience = notes > 0 ? SILENCE_NOTES * notes : SILENCE_RUNS * freshRun(job);
        boolean overdue = job.at != null && now - Math.max(job.newsAt, awakeAt) > patience;
        if (overdue && !job.cancelled && !job.done && !job.streaming) {
            strike(now, job.at, "silent", 1);
            job.newsAt = now;
            if (mayMove(now, job) && now + freshRun(job) < job.due) {
                stop(job);
            }
        }
    }

    @Override
    public double[] learnedRunTimes() {
        return Arrays.stream(learned).mapToDouble(known -> known.least).toArray();
    }

    @Override
    public void learnedRunTimes(double[] before) {
        for (int i = 0; i < Math.min(before.length, learned.length); i++) {
            if (before[i] > 0 && learned[i].runs < KNOWN_RUNS) {
                learned[i].runs = KNOWN_RUNS;
                learned[i].run = learned[i].least = before[i];
                learned[i].usual = before[i] * settings.classes().get(i).threads();
            }
        }
    }

    @Override
    public void processesChanged(long now, int sharers, int number) {
        processes = sharers;
        place = number;
    }

    /**
     * No group may have a reason to go there: one query that may be repeated does, as soon as one
     * comes.
     */
    @Override
    public void engineReinstated(long now, long engine) {
        Node n = nodes.get(engine);
        if (n != null) {
            forgive(n);
            n.owed = true;
            pump(now);
        }
    }

    @Override
    public boolean isEjected(long engine) {
        Node n = nodes.get(engine);
        return n != null && n.benched;
    }

    // ---- Reports
    // ------------------------------------------------------------------------------------
    @Override
    public void probeCompleted(long now, long engine, AttemptOutcome outcome, LoadReport report) {
        Node n = nodes.get(engine);
        if (n != null) {
            n.probing = false;
            if (report != null && outcome == AttemptOutcome.OK) {
                report(now, n, report);
            }
            if (outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.CANCELLED) {
                bench(now, n, outcome);
            }
            n.askAt =
                    n.reportAt == now
                            ? n.askAt
                            : now + BENCH_FIRST; // Nothing to tell, or too many ask.
            n.lookers.forEach(job -> job.looking--);
            n.lookers.clear();
            pump(now);
        }
    }

    /**
     * Others' threads: those of the queries that are not ours, or less where the cores are not all
     * busy.
     */
    private void report(long now, Node n, LoadReport report) {
        room = Double.isNaN(report.utilization()) ? BLIND_ROOM : ROOM;
        double each = Math.max(1, smoothThreads / Math.max(1e-9, smoothQueries));
        double counted = (report.running() - n.running.size()) * each;
        double busy =
                report.highestUtilization() / BUSY_FULL * room * n.cores
                        - n.ownThreads; // Cores idle in a jam.
        boolean idle =
                Math.max(report.utilization(), report.highestUtilization())
                        < BUSY_FULL; // What is over waits.
        double others =
                Math.max(
                        0, Double.isNaN(counted) ? busy : idle ? Math.min(counted, busy) : counted);
        if (!Double.isNaN(others)) {
            view(now, n, others, Math.min(REPORT_WEIGHT, (now - n.reportAt) / SMOOTH));
            usual += (others / n.cores - usual) * Math.max(USUAL_WEIGHT, 1.0 / (++reports + DOUBT));
        }
    }

    /** Takes others' threads on an engine as seen, against what earlier reports are still worth. */
    private void view(long now, Node n, double others, double weight) {
        n.others += (others - n.others) * Math.max(1 - trust(n, now), weight);
        n.reportAt = now;
    }

    // ---- The tick
    // -----------------------------------------------------------------------------------
    private void tick(long now) {
        actions.scheduleTimer(TICK, TICK_TOKEN);
        double slowly = 1 - Math.exp((lastTick - now) / LONG);
        awakeAt = now - lastTick > STANDSTILL ? now : awakeAt; // News is overdue by our own fault.
        lastTick = now;
        List.copyOf(jobs.values()).forEach(job -> checkSilence(now, job));
        smoothThreads += (ownThreads - smoothThreads) * slowly;
        smoothQueries += (ownQueries - smoothQueries) * slowly;
        double guess = (settings.gateways() - 1) * smoothThreads / Math.max(1, fleetCores);
        usual = reports > 0 ? usual * (1 - slowly) : guess;
        ration(now);
        if (settings.watchEndpointsOnRequest() && now >= askRosterAt) {
            askRosterAt = Long.MAX_VALUE;
            actions.watchEndpoints();
        }
        expire(now);
        pump(now);
        if (now >= forgetAt) { // Clients may name any number of groups.
            forgetAt = now + GROUP_IDLE;
            groups.values().removeIf(g -> g.loads.isEmpty() && now - g.usedAt > GROUP_IDLE);
            keys.values().removeIf(k -> k.line.isEmpty() && k.unsettled == 0 && k.restUntil <= now);
        }
    }
}
