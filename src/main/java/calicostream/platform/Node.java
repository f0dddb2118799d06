// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.QueryRouter;
import calicostream.QueryRouter.Settings;
import calicostream.SettingsException;
import calicostream.SettingsParser;
import calicostream.admin.AdminFront;
import calicostream.admin.FiguresJson;
import calicostream.admin.Operator;
import calicostream.core.Clock;
import calicostream.core.Deadlines;
import calicostream.core.Engines;
import calicostream.core.Gateway;
import calicostream.core.Watcher;
import calicostream.flight.FlightConfig;
import calicostream.flight.FlightEngines;
import calicostream.flight.FlightFront;
import calicostream.net.Loop;
import calicostream.syslog.Syslog;
import calicostream.syslog.SyslogConfig;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One front end on the platform: its parts, its start and its end. */
public final class Node implements Operator {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    private static final long SERVE_ON = 800_000; // us after SIGTERM in which clients may still come: 0.7 s at most
    private static final long LOOK_AGAIN = 20_000;
    private static final long READ_LAST = 1_000_000; // us that clients have to read the last answers
    private static final long LONGEST_END_S = 30;
    private final Loop loop;
    private final JsonRpcFront front;
    private final Gateway gateway;
    private final FlightFront flight;
    private final NodeConfig config;
    private final ChangeLog log;
    private final Descriptors descriptors;
    private final AdminFront admin;
    private boolean listening, ending;
    private long lastOpenAt;
    private final CountDownLatch done = new CountDownLatch(1);

    /** Flight SQL and syslog are off, and their classes not loaded, where their configuration is null. */
    public Node(NodeConfig config, FlightConfig flightConfig, SyslogConfig syslogConfig) throws IOException {
        this.config = config;
        SettingsParser settings = config.settings();
        Clock clock = new Clock();
        loop = new Loop(clock, new Deadlines());
        descriptors = Descriptors.of(config.sockets());
        boolean flightEngines = flightConfig != null && flightConfig.flightEngines();
        Engines engines = flightEngines ? new FlightEngines(loop, settings, flightConfig.mostResultBytes())
                : new RespEngines(loop, settings.classNames(), settings.wiring(), descriptors.engines());
        Watcher watcher = syslogConfig == null ? Watcher.NONE
                : new Syslog(loop, syslogConfig, config.name(), settings.classNames());
        Settings decided = flightEngines ? settings.settings().withoutNotes() : settings.settings();
        gateway = new Gateway(clock, loop.deadlines(), decided, watcher);
        flight = flightConfig == null ? null : new FlightFront(loop, gateway, flightConfig, settings);
        front = new JsonRpcFront(loop, gateway, settings.classNames(), longestDeadline(decided),
                flight == null ? rows -> rows : flight::text);
        Roster roster = new Roster(clock, settings.zoneNames(), settings.kindNames());
        Roster.Change known = roster.known(config.known());
        known.addresses().forEach(engines::locate);
        gateway.start(engines, known.engines());
        log = new ChangeLog(loop, config.changelog(), roster, known.seq(), change -> {
            change.addresses().forEach(engines::locate);
            gateway.roster(change.kind(), change.engines());
        });
        log.start();
        admin = config.admin() == null ? null : new AdminFront(loop, this);
    }

    private static long longestDeadline(Settings settings) {
        return settings.classes().stream().mapToLong(QueryRouter.QueryClass::deadlineUs).max().orElse(0);
    }

    /**
     * On SIGHUP, off the loop's thread: reads the file anew and follows the change log at its new address, from
     * the last event seen on. Requests, connections and all else stay as they are, and so does everything where
     * the new file can't be used.
     */
    public void reload(Path path) {
        loop.post(() -> {
            try {
                InetSocketAddress to = NodeConfig.read(path).changelog();
                LOG.info("configuration read anew, change log at {}", to);
                log.move(to);
            } catch (SettingsException e) {
                LOG.warn("the configuration stays as it was: {}", e.getMessage());
            }
        });
    }

    /** Serves until SIGTERM and what was taken by then is answered. */
    public void run() throws IOException {
        int warmed = new WarmUp(config.settings().settings(), config.settings().classNames()).run();
        if (admin != null) {
            admin.listen(config.admin());
            LOG.info("operators call on port {}", admin.port());
        }
        front.listen(config.listen(), descriptors.clients());
        listening = true;
        Runtime.getRuntime().addShutdownHook(new Thread(this::terminate, "terminate"));
        LOG.info("{}, warmed up by {} requests, listens on port {}", config.name(), warmed, front.port());
        if (flight != null) {
            flight.start();
            LOG.info("Flight SQL listens on port {}", flight.port());
        }
        try {
            loop.run();
        } finally {
            done.countDown();
        }
    }

    /** On SIGTERM, off the loop's thread: the process ends when this returns. */
    private void terminate() {
        loop.post(() -> {
            ending = true;
            LOG.info("SIGTERM: {} requests are open", gateway.open());
            long stopAt = loop.clock().now() + SERVE_ON;
            lastOpenAt = stopAt;
            loop.deadlines().add(stopAt, this::finish, 0);
        });
        try {
            done.await(LONGEST_END_S, TimeUnit.SECONDS);
            if (flight != null) {
                flight.awaitEnd();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public boolean isReady() {
        return listening && !ending;
    }

    @Override
    public boolean disable(String engine) {
        return gateway.disable(Roster.id(engine));
    }

    @Override
    public boolean enable(String engine) {
        return gateway.enable(Roster.id(engine));
    }

    @Override
    public String figures() {
        return FiguresJson.of(gateway, config.settings().classNames());
    }

    private void finish(long now, long ref) {
        try {
            front.stopListening();
            if (flight != null) {
                flight.stopListening();
            }
        } catch (IOException e) {
            LOG.warn("listener: {}", e.toString());
        }
        lastOpenAt = gateway.open() > 0 ? now : lastOpenAt;
        if (gateway.open() == 0 && (front.unsent() == 0 || now - lastOpenAt > READ_LAST)) {
            loop.stop();
        } else {
            loop.deadlines().add(now + LOOK_AGAIN, this::finish, 0);
        }
    }
}
