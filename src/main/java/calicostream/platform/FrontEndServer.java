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

/** One front end of the platform: start-up, hot restart and shutdown of its components. */
public final class FrontEndServer implements AdminOperations {
    private static final Logger LOG = LoggerFactory.getLogger(FrontEndServer.class);
    // Used only where the process was started with SIGHUP ignored.
    private static final long CONFIG_POLL_MICROS = 250_000;
    private static final long PEER_POLL_MICROS = 100_000;
    // Time to receive the endpoint events that another process has applied.
    private static final long PEER_LIST_TIMEOUT_MICROS = 1_500_000;
    // Counts from the start of the process; the platform considers the list delivered by then.
    private static final long LIST_TIMEOUT_MICROS = 7_000_000;
    private static final long LIST_POLL_MICROS = 5_000;
    private static final long TERMINATION_TIMEOUT_SECONDS = 30;
    private final SelectorLoop loop;
    private final JsonRpcServer rpcServer;
    private final Gateway gateway;
    private final List<Service> services;
    private final FrontEndConfig config;
    private final EndpointWatch endpointWatch;
    private final Descriptors descriptors;
    private final EngineClient engines;
    private final HotRestart hotRestart;
    private final GracefulShutdown shutdown;
    private final AdminServer admin;
    private boolean gatewayStarted;
    private boolean listening;
    private boolean terminating;
    // Among which the limits of this front end are divided now.
    private int sharingProcesses;
    private IOException startupFailure;
    private final long startedAt;
    private final CountDownLatch terminated = new CountDownLatch(1);

    /** The processes of this front end share {@code sharedFolder} in a hot restart; or null. */
    public FrontEndServer(FrontEndConfig config, ServerComponents components, Path sharedFolder)
            throws IOException {
        this.config = config;
        descriptors = components.descriptors();
        loop = components.loop();
        startedAt = loop.clock().now();
        engines = components.engines();
        gateway = components.gateway();
        services = components.services();
        SettingsParser settings = config.settings();
        rpcServer =
                new JsonRpcServer(
                        loop, gateway, settings.classNames(), maxDeadline(), components.encoder());
        EndpointListDecoder decoder =
                new EndpointListDecoder(loop.clock(), settings.zoneNames(), settings.kindNames());
        EndpointListDecoder.Change initialEndpoints = decoder.decodeInitial(config.known());
        initialEndpoints.addresses().forEach(engines::setAddress);
        initialEndpoints.startedAtUnixMillis().forEach(engines::engineStarted);
        List<Runnable> earlyOverrides = new ArrayList<>();
        hotRestart = createHotRestart(sharedFolder, earlyOverrides);
        hotRestart.join();
        shutdown =
                new GracefulShutdown(loop, gateway, rpcServer, services, hotRestart, maxDeadline());
        gateway.attachKeyOwnership(hotRestart.keyOwnership());
        gateway.attachPeerRequestIds(hotRestart.requestIds());
        shareLimits();
        gateway.start(engines, initialEndpoints.engines());
        gatewayStarted = true;
        earlyOverrides.forEach(Runnable::run);
        endpointWatch =
                new EndpointWatch(
                        loop,
                        config.changelog(),
                        decoder,
                        initialEndpoints.sequence(),
                        config.seed(),
                        change -> {
                            change.addresses().forEach(engines::setAddress);
                            change.startedAtUnixMillis().forEach(engines::engineStarted);
                            gateway.endpointsChanged(change.updateKind(), change.engines());
                        });
        endpointWatch.start();
        admin = config.admin() == null ? null : new AdminServer(loop, this);
    }

    /** Overrides that arrive before the gateway is started are kept until it is. */
    private HotRestart createHotRestart(Path sharedFolder, List<Runnable> earlyOverrides) {
        return new HotRestart(
                sharedFolder,
                config.name(),
                (engineName, override) -> {
                    if (gatewayStarted) {
                        applyOverride(engineName, override);
                    } else {
                        earlyOverrides.add(() -> applyOverride(engineName, override));
                    }
                });
    }

    private long maxDeadline() {
        return config.settings().settings().classes().stream()
                .mapToLong(QueryClass::deadlineUs)
                .max()
                .orElse(0);
    }

    /**
     * Reloads the configuration; called on SIGHUP, from any thread. Only the address of the change
     * log is applied: the watch resumes there. An invalid file changes nothing.
     */
    public void reload(Path path) {
        loop.post(
                () -> {
                    try {
                        InetSocketAddress changelogAddress = FrontEndConfig.read(path).changelog();
                        LOG.info("configuration reloaded, discovery endpoint {}", changelogAddress);
                        endpointWatch.moveTo(changelogAddress);
                    } catch (SettingsException e) {
                        LOG.warn("configuration not reloaded: {}", e.getMessage());
                    }
                });
    }

    /**
     * Reloads the configuration whenever its file changes, if SIGHUP can't be handled; called from
     * any thread. A partially written file is invalid and read again after its next change.
     */
    public void follow(ConfigFileWatcher watcher) {
        LOG.info(
                "SIGHUP is ignored by this process: the configuration is reloaded when its file"
                        + " changes");
        loop.post(() -> pollConfigFile(watcher));
    }

    private void pollConfigFile(ConfigFileWatcher watcher) {
        if (watcher.hasChanged()) {
            reload(watcher.file());
        }
        loop.deadlines()
                .add(
                        loop.clock().now() + CONFIG_POLL_MICROS,
                        (now, reference) -> pollConfigFile(watcher),
                        0);
    }

    /** Runs until SIGTERM was received and the accepted requests have their responses. */
    public void run() throws IOException {
        Runtime.getRuntime().addShutdownHook(new Thread(this::terminate, "terminate"));
        pollPeers(loop.clock().now(), 0);
        WarmUp warmUp = new WarmUp(config.settings().settings(), config.settings().classNames());
        loop.runNextIteration(() -> continueWarmUp(warmUp));
        try {
            loop.run();
        } finally {
            hotRestart.leave();
            terminated.countDown();
        }
        if (startupFailure != null) {
            throw startupFailure;
        }
    }

    /** Runs the warm-up in slices, so that endpoint events are received between them. */
    private void continueWarmUp(WarmUp warmUp) {
        if (warmUp.runSlice()) {
            loop.runNextIteration(() -> continueWarmUp(warmUp));
            return;
        }
        LOG.info("{}: warm-up completed with {} requests", config.name(), warmUp.responseCount());
        try {
            if (admin != null) {
                admin.listen(config.admin());
                LOG.info("admin API on port {}", admin.port());
            }
        } catch (IOException e) {
            startupFailure = e;
            loop.stop();
            return;
        }
        long now = loop.clock().now();
        awaitEndpointList(
                now,
                hotRestart.hasPredecessor()
                        ? now + PEER_LIST_TIMEOUT_MICROS
                        : startedAt + LIST_TIMEOUT_MICROS);
    }

    /**
     * Accepts clients only when the endpoint list is up to date, or after a timeout. The list in
     * the configuration may be outdated, and the platform considers all logged changes delivered.
     */
    private void awaitEndpointList(long now, long timeoutAt) {
        if (terminating) {
            return;
        }
        boolean isCaughtUp =
                endpointWatch.isCaughtUp(now)
                        && endpointWatch.lastSequence() >= hotRestart.newestPeerEventSequence();
        if (now < timeoutAt && !(isCaughtUp && knowsRequestIds())) {
            loop.deadlines().add(now + LIST_POLL_MICROS, this::awaitEndpointList, timeoutAt);
            return;
        }
        if (!isCaughtUp) {
            LOG.warn("endpoint list may be incomplete: the discovery stream is not up to date");
        }
        if (!hotRestart.knowsRequestIdsOfPredecessors()) {
            LOG.warn("the older process has not published its request ids: loads may run twice");
        }
        try {
            listen();
        } catch (IOException e) {
            startupFailure = e;
            loop.stop();
        }
    }

    private boolean knowsRequestIds() {
        if (!hotRestart.knowsRequestIdsOfPredecessors()) {
            hotRestart.poll();
        }
        return hotRestart.knowsRequestIdsOfPredecessors();
    }

    private void listen() throws IOException {
        gateway.restoreLearnedRunTimes(hotRestart.predecessorRunTimes());
        rpcServer.listen(config.listen());
        LOG.info("listening on port {}", rpcServer.port());
        for (Service service : services) {
            service.start();
            LOG.info("{} listening on port {}", service.name(), service.port());
        }
        listening = true;
        hotRestart.publishListening(true);
    }

    /** Runs on SIGTERM in the shutdown hook's thread; the process ends when this returns. */
    private void terminate() {
        loop.post(
                () -> {
                    terminating = true;
                    LOG.info("SIGTERM received: {} requests in flight", gateway.openRequests());
                    if (!listening) {
                        loop.stop();
                        return;
                    }
                    shutdown.begin();
                });
        try {
            terminated.await(TERMINATION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            for (Service service : services) {
                service.awaitTermination();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public boolean isReady() {
        return listening && !terminating;
    }

    /** Polls first, as another process may have accepted a command for the same engine. */
    @Override
    public boolean disableEngine(String engineName) {
        hotRestart.poll();
        long engineId = EndpointListDecoder.engineId(engineName);
        if (gateway.isKnownEngine(engineId) && !gateway.isDisabled(engineId)) {
            gateway.disable(engineId);
            hotRestart.publishEngineOverride(engineName, true);
        }
        return gateway.isKnownEngine(engineId);
    }

    @Override
    public boolean enableEngine(String engineName) {
        hotRestart.poll();
        long engineId = EndpointListDecoder.engineId(engineName);
        boolean isKnown = gateway.isKnownEngine(engineId);
        if (gateway.isDisabled(engineId)) {
            gateway.enable(engineId, loop.clock().now());
            hotRestart.publishEngineOverride(engineName, false);
        }
        return isKnown;
    }

    /** Applies an operator's command that another process of this front end has accepted. */
    private void applyOverride(String engineName, EngineOverride override) {
        if (override.disabled()) {
            gateway.disable(EndpointListDecoder.engineId(engineName));
        } else {
            gateway.enable(
                    EndpointListDecoder.engineId(engineName),
                    loop.clock().fromUnixMillis(override.changedAtUnixMillis()));
        }
    }

    private void pollPeers(long now, long reference) {
        hotRestart.poll();
        hotRestart.publishEventSequence(endpointWatch.lastSequence());
        hotRestart.shareRequestIds(gateway::publishUnrepeatableIds);
        if (hotRestart.processCount() != sharingProcesses) {
            shareLimits();
            hotRestart.publishLearnedRunTimes(gateway.learnedRunTimes());
        }
        loop.deadlines().add(now + PEER_POLL_MICROS, this::pollPeers, 0);
    }

    /** Divides the limits of this front end equally among its processes. */
    private void shareLimits() {
        sharingProcesses = hotRestart.processCount();
        LOG.info("processes of this front end: {}", sharingProcesses);
        gateway.processesChanged(sharingProcesses, hotRestart.rankByAge());
        Descriptors share =
                Descriptors.of(config.sockets() / sharingProcesses, descriptors.process());
        rpcServer.setMaxClients(share.clients());
        engines.setMaxConnections(share.engines());
    }

    @Override
    public String metricsJson() {
        return MetricsJson.of(gateway, config.settings().classNames());
    }

    private Service service(String name) {
        return services.stream().filter(s -> s.name().equals(name)).findFirst().orElse(null);
    }

    @Override
    public String statusJson(String name) {
        Service service = service(name);
        return service == null ? null : service.statusJson();
    }

    @Override
    public String executeCommand(String name, String command) {
        Service service = service(name);
        return service == null ? null : service.runAdminCommand(command);
    }
}
