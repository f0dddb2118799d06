// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.admin.AdminOperations;
import calicostream.admin.AdminServer;
import calicostream.admin.MetricsJson;
import calicostream.config.SettingsException;
import calicostream.core.EngineClient;
import calicostream.core.Gateway;
import calicostream.core.Service;
import calicostream.hotrestart.EngineOverride;
import calicostream.hotrestart.HotRestart;
import calicostream.net.SelectorLoop;
import calicostream.routing.QueryClass;
import calicostream.routing.SettingsParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One front end on the platform: its parts, its start and its end. */
public final class FrontEndServer implements AdminOperations {
    private static final Logger LOG = LoggerFactory.getLogger(FrontEndServer.class);
    private static final long SERVE_ON =
            800_000; // us after SIGTERM in which clients may still come: 0.7 s at most
    private static final long MARGIN =
            500_000; // us before SIGKILL, which may come 0.1 s before SERVE_ON's end
    private static final long LAST_WORDS = 150_000; // us for the last answers to go out
    private static final long LOOK_AGAIN = 20_000;
    private static final long LOOK_AT_FILE =
            250_000; // us between looks at the configuration where SIGHUP is not heard
    private static final long LOOK = 100_000; // us between looks at the other process's word
    private static final long CATCH_UP =
            1_500_000; // us at most to hear of the engines what the other process knows
    private static final long LIST_AWAITED =
            7_000_000; // us from the start at most: after that its word counts anyway
    private static final long CATCH_UP_LOOK = 5_000;
    private static final long LONGEST_STAY =
            3_000_000; // us after SIGTERM that a request may be waited for
    private static final long LONGEST_HAND_OVER =
            5_000_000; // us, the same where another process takes the clients
    private static final long REST_ON =
            700_000; // us in which most who rest ask once more, the other process beside
    private static final long LONGEST_END_S = 30;
    private final SelectorLoop loop;
    private final JsonRpcServer front;
    private final Gateway gateway;
    private final List<Service> services;
    private final FrontEndConfig config;
    private final EndpointWatch log;
    private final Descriptors descriptors;
    private final EngineClient engines;
    private final HotRestart handover;
    private final AdminServer admin;
    private boolean started;
    private boolean listening;
    private boolean ending;
    private IOException failed;
    private final long startedAt;
    private final CountDownLatch done = new CountDownLatch(1);

    /** {@code shared} is the folder that this front end's processes have in common, or null. */
    public FrontEndServer(FrontEndConfig config, ServerComponents parts, Path shared)
            throws IOException {
        this.config = config;
        descriptors = parts.descriptors();
        loop = parts.loop();
        startedAt = loop.clock().now();
        engines = parts.engines();
        gateway = parts.gateway();
        services = parts.services();
        SettingsParser settings = config.settings();
        front =
                new JsonRpcServer(
                        loop, gateway, settings.classNames(), longestDeadline(), parts.text());
        EndpointListDecoder roster =
                new EndpointListDecoder(loop.clock(), settings.zoneNames(), settings.kindNames());
        EndpointListDecoder.Change known = roster.known(config.known());
        known.addresses().forEach(engines::setAddress);
        known.began().forEach(engines::engineStarted);
        List<Runnable> early = new ArrayList<>();
        handover =
                new HotRestart(
                        shared,
                        config.name(),
                        (engine, word) -> {
                            if (started) {
                                heard(engine, word);
                            } else {
                                early.add(() -> heard(engine, word));
                            }
                        });
        handover.join();
        gateway.attachKeyOwnership(handover.keyOwnership());
        share();
        gateway.start(engines, known.engines());
        started = true;
        early.forEach(Runnable::run);
        log =
                new EndpointWatch(
                        loop,
                        config.changelog(),
                        roster,
                        known.seq(),
                        config.seed(),
                        change -> {
                            change.addresses().forEach(engines::setAddress);
                            change.began().forEach(engines::engineStarted);
                            gateway.endpointsChanged(change.kind(), change.engines());
                        });
        log.start();
        admin = config.admin() == null ? null : new AdminServer(loop, this);
    }

    private long longestDeadline() {
        return config.settings().settings().classes().stream()
                .mapToLong(QueryClass::deadlineUs)
                .max()
                .orElse(0);
    }

    /**
     * On SIGHUP, off the loop's thread: reads the file anew and follows the change log at its new
     * address, from the last event seen on. Requests, connections and all else stay as they are,
     * and so does everything where the new file can't be used.
     */
    public void reload(Path path) {
        loop.post(
                () -> {
                    try {
                        InetSocketAddress to = FrontEndConfig.read(path).changelog();
                        LOG.info("configuration reloaded, discovery endpoint {}", to);
                        log.move(to);
                    } catch (SettingsException e) {
                        LOG.warn("configuration not reloaded: {}", e.getMessage());
                    }
                });
    }

    /**
     * Off the loop's thread, where SIGHUP can't be heard: reads the configuration anew whenever its
     * file has changed. One that is read half written can't be used, and is read again once it has
     * changed further.
     */
    public void follow(ConfigFileWatcher watch) {
        LOG.info(
                "SIGHUP is ignored by this process: the configuration is reloaded when its file"
                        + " changes");
        loop.post(() -> look(watch));
    }

    private void look(ConfigFileWatcher watch) {
        if (watch.hasChanged()) {
            reload(watch.file());
        }
        loop.deadlines().add(loop.clock().now() + LOOK_AT_FILE, (now, ref) -> look(watch), 0);
    }

    /** Serves until SIGTERM and what was taken by then is answered. */
    public void run() throws IOException {
        Runtime.getRuntime().addShutdownHook(new Thread(this::terminate, "terminate"));
        look(loop.clock().now(), 0);
        WarmUp warmUp = new WarmUp(config.settings().settings(), config.settings().classNames());
        loop.runNextIteration(() -> warm(warmUp));
        try {
            loop.run();
        } finally {
            handover.leave();
            done.countDown();
        }
        if (failed != null) {
            throw failed;
        }
    }

    /** In pieces between the loop's turns: meanwhile the change log tells what it holds. */
    private void warm(WarmUp warmUp) {
        if (warmUp.goesOn()) {
            loop.runNextIteration(() -> warm(warmUp));
            return;
        }
        LOG.info("{}: warm-up completed with {} requests", config.name(), warmUp.answers());
        try {
            if (admin != null) {
                admin.listen(config.admin());
                LOG.info("admin API on port {}", admin.port());
            }
        } catch (IOException e) {
            failed = e;
            loop.stop();
            return;
        }
        long now = loop.clock().now();
        catchUp(now, handover.hasPredecessor() ? now + CATCH_UP : startedAt + LIST_AWAITED);
    }

    /**
     * The configuration may be older than this process, and what the change log holds counts as
     * told whether it was read or not: clients come once the log has told it all.
     */
    private void catchUp(long now, long until) {
        if (ending) {
            return;
        }
        boolean current = log.hasToldAll(now) && log.seq() >= handover.newestPeerEventSequence();
        if (now < until && !current) {
            loop.deadlines().add(now + CATCH_UP_LOOK, this::catchUp, until);
            return;
        }
        if (!current) {
            LOG.warn("endpoint list may be incomplete: the discovery stream is not up to date");
        }
        try {
            listen();
        } catch (IOException e) {
            failed = e;
            loop.stop();
        }
    }

    private void listen() throws IOException {
        gateway.learnedRunTimes(handover.predecessorRunTimes());
        front.listen(config.listen());
        LOG.info("listening on port {}", front.port());
        for (Service each : services) {
            each.start();
            LOG.info("{} listening on port {}", each.name(), each.port());
        }
        listening = true;
        handover.publishListening(true);
    }

    /** On SIGTERM, off the loop's thread: the process ends when this returns. */
    private void terminate() {
        loop.post(
                () -> {
                    ending = true;
                    LOG.info("SIGTERM received: {} requests in flight", gateway.openRequests());
                    if (!listening) {
                        loop.stop();
                        return;
                    }
                    handover.poll();
                    long now = loop.clock().now();
                    if (handover.hasSuccessor()) {
                        LOG.info("draining: a successor process accepts new clients");
                        retire(now + REST_ON, lastMoment(now, LONGEST_HAND_OVER));
                    } else {
                        loop.deadlines()
                                .add(
                                        now + SERVE_ON,
                                        (at, last) -> retire(at, last),
                                        lastMoment(now, LONGEST_STAY));
                    }
                });
        try {
            done.await(LONGEST_END_S, TimeUnit.SECONDS);
            for (Service each : services) {
                each.awaitTermination();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public boolean isReady() {
        return listening && !ending;
    }

    /** The other process may have been told a moment ago: that is heard first. */
    @Override
    public boolean disableEngine(String engine) {
        handover.poll();
        long id = EndpointListDecoder.id(engine);
        if (gateway.isKnownEngine(id) && !gateway.isDisabled(id)) {
            gateway.disable(id);
            handover.publishEngineOverride(engine, true);
        }
        return gateway.isKnownEngine(id);
    }

    @Override
    public boolean enableEngine(String engine) {
        handover.poll();
        long id = EndpointListDecoder.id(engine);
        boolean known = gateway.isKnownEngine(id);
        if (gateway.isDisabled(id)) {
            gateway.enable(id, loop.clock().now());
            handover.publishEngineOverride(engine, false);
        }
        return known;
    }

    /** What an operator said to the other process of this front end. */
    private void heard(String engine, EngineOverride word) {
        if (word.disabled()) {
            gateway.disable(EndpointListDecoder.id(engine));
        } else {
            gateway.enable(
                    EndpointListDecoder.id(engine),
                    loop.clock().ofUnixMillis(word.changedAtUnixMillis()));
        }
    }

    private void look(long now, long ref) {
        int before = handover.processCount();
        handover.poll();
        handover.publishEventSequence(log.seq());
        if (handover.processCount() != before) {
            share();
            handover.publishLearnedRunTimes(gateway.learnedRunTimes());
        }
        loop.deadlines().add(now + LOOK, this::look, 0);
    }

    /**
     * Of all that the limits and the rules allow this front end, its processes have equal parts.
     */
    private void share() {
        LOG.info("processes of this front end: {}", handover.processCount());
        gateway.processesChanged(handover.processCount(), handover.rankByAge());
        Descriptors part =
                Descriptors.of(config.sockets() / handover.processCount(), descriptors.own());
        front.setMaxClients(part.clients());
        engines.setMaxConnections(part.engines());
    }

    @Override
    public String metricsJson() {
        return MetricsJson.of(gateway, config.settings().classNames());
    }

    private Service part(String name) {
        return services.stream().filter(each -> each.name().equals(name)).findFirst().orElse(null);
    }

    @Override
    public String statusJson(String name) {
        Service part = part(name);
        return part == null ? null : part.statusJson();
    }

    @Override
    public String executeCommand(String name, String words) {
        Service part = part(name);
        return part == null ? null : part.administer(words);
    }

    /** By when all that was taken must be answered: SIGKILL may come soon after. */
    private long lastMoment(long terminatedAt, long longestStay) {
        return terminatedAt + Math.min(longestStay, longestDeadline()) + SERVE_ON - MARGIN;
    }

    /** No new clients from now on; those that are here are served, and let go at rest. */
    private void retire(long restsUntil, long last) {
        handover.publishListening(false);
        services.forEach(Service::stopListening);
        try {
            front.drain(restsUntil, last);
        } catch (IOException e) {
            LOG.warn("listener not closed: {}", e.toString());
        }
        loop.deadlines().add(loop.clock().now() + LOOK_AGAIN, this::retired, last + LAST_WORDS);
        // Deadlines may lie beyond SIGKILL, and a request that this process ends without an answer
        // is lost.
        loop.deadlines().add(last, (at, ref) -> gateway.terminateAll(), 0);
    }

    private void retired(long now, long last) {
        if (gateway.openRequests() == 0 && front.isEmpty() || now >= last) {
            LOG.info(
                    "drained: {} requests in flight, clients {}",
                    gateway.openRequests(),
                    front.describeClients());
            loop.stop();
        } else {
            loop.deadlines().add(now + LOOK_AGAIN, this::retired, last);
        }
    }
}
