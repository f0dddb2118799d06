// SPDX-License-Identifier: Apache-2.0
package calicostream.daemon;

import calicostream.config.ConfigFile;
import calicostream.config.SettingsException;
import calicostream.core.Clock;
import calicostream.core.Deadlines;
import calicostream.core.EngineClient;
import calicostream.core.Gateway;
import calicostream.core.RequestListener;
import calicostream.core.RequestResult;
import calicostream.core.Service;
import calicostream.core.TextResult;
import calicostream.flight.FlightConfig;
import calicostream.net.SelectorLoop;
import calicostream.platform.Descriptors;
import calicostream.platform.FrontEndConfig;
import calicostream.platform.FrontEndServer;
import calicostream.platform.RespEngineClient;
import calicostream.platform.ServerComponents;
import calicostream.routing.RouterSettings;
import calicostream.routing.SettingsParser;
import calicostream.syslog.SyslogConfig;
import calicostream.syslog.SyslogSender;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Assembles a server from its components. An optional component that is disabled costs a check for
 * its file and nothing more: its classes are used only where it is enabled, so the virtual machine
 * never loads them.
 */
public final class ServerAssembly {
    private static final String FLIGHT_FILE = "flight.json";
    private static final String SYSLOG_FILE = "syslog.json";

    /** The share of the descriptors that is kept for Flight SQL's clients, as a divisor. */
    private static final int FLIGHT_CLIENTS_DIVISOR = 3;

    private ServerAssembly() {}

    /**
     * Assembles a server that does not serve yet.
     *
     * @param config the server's configuration
     * @param deployFolder where the files of optional components are
     * @param sharedFolder the folder that this server's processes share in a hot restart, or null
     * @param clusterFile the cluster's settings, or null
     * @throws SettingsException where a file can't be used
     * @throws IOException where a socket or the cluster member's storage can't be opened
     */
    public static FrontEndServer assemble(
            FrontEndConfig config, Path deployFolder, Path sharedFolder, Path clusterFile)
            throws IOException {
        FlightConfig flightConfig = readFlightConfig(deployFolder.resolve(FLIGHT_FILE));
        SyslogConfig syslogConfig = readSyslogConfig(deployFolder.resolve(SYSLOG_FILE));
        ClusterComponent cluster = clusterFile == null ? null : ClusterComponent.read(clusterFile);
        Descriptors descriptors = descriptors(config, flightConfig, cluster);
        SelectorLoop loop = new SelectorLoop(new Clock(), new Deadlines());
        SettingsParser settings = config.settings();
        FlightComponent flight =
                flightConfig == null ? null : new FlightComponent(loop, settings, flightConfig);

        EngineClient flightEngines = flight == null ? null : flight.engineClient();
        EngineClient engines =
                flightEngines == null
                        ? respEngineClient(loop, settings, descriptors)
                        : flightEngines;
        RouterSettings routerSettings = routerSettings(settings, flightEngines != null);
        List<RequestListener> listeners = listeners(loop, config, flight, syslogConfig);
        if (cluster != null) {
            engines = cluster.withBudget(loop, engines, listeners);
        }
        Gateway gateway =
                new Gateway(
                        loop.clock(),
                        loop.deadlines(),
                        routerSettings,
                        CompositeListener.of(listeners));
        List<Service> services = services(loop, gateway, flight, cluster);
        return new FrontEndServer(
                config,
                new ServerComponents(
                        descriptors, loop, gateway, engines, resultWriter(flight), services),
                sharedFolder);
    }

    private static FlightConfig readFlightConfig(Path file) {
        return ConfigFile.isEnabled(file) ? FlightConfig.read(file) : null;
    }

    private static SyslogConfig readSyslogConfig(Path file) {
        return ConfigFile.isEnabled(file) ? SyslogConfig.read(file) : null;
    }

    /** Counts the file descriptors in use: call it before others are opened. */
    private static Descriptors descriptors(
            FrontEndConfig config, FlightConfig flight, ClusterComponent cluster) {
        int limit = config.sockets();
        int flightClients =
                flight == null ? 0 : Math.min(flight.connections(), limit / FLIGHT_CLIENTS_DIVISOR);
        int members = cluster == null ? 0 : cluster.maxFileDescriptors();
        Descriptors descriptors = Descriptors.of(limit);
        return flightClients + members == 0
                ? descriptors
                : descriptors.beside(limit, flightClients + members);
    }

    private static EngineClient respEngineClient(
            SelectorLoop loop, SettingsParser settings, Descriptors descriptors) {
        return new RespEngineClient(
                loop, settings.classNames(), settings.connectionSettings(), descriptors.engines());
    }

    /** Engines that speak Flight SQL send no progress notifications. */
    private static RouterSettings routerSettings(SettingsParser settings, boolean flightEngines) {
        RouterSettings all = settings.settings();
        return flightEngines ? all.withoutProgressReports() : all;
    }

    private static List<RequestListener> listeners(
            SelectorLoop loop,
            FrontEndConfig config,
            FlightComponent flight,
            SyslogConfig syslogConfig)
            throws IOException {
        List<RequestListener> listeners = new ArrayList<>();
        if (flight != null) {
            listeners.add(flight.listener());
        }
        if (syslogConfig != null) {
            List<String> classNames = config.settings().classNames();
            listeners.add(new SyslogSender(loop, syslogConfig, config.name(), classNames));
        }
        return listeners;
    }

    private static List<Service> services(
            SelectorLoop loop, Gateway gateway, FlightComponent flight, ClusterComponent cluster)
            throws IOException {
        List<Service> services = new ArrayList<>();
        if (flight != null) {
            services.add(flight.createServer(gateway));
        }
        if (cluster != null) {
            cluster.join(loop, gateway);
            services.add(cluster);
        }
        return services;
    }

    private static Function<RequestResult, byte[]> resultWriter(FlightComponent flight) {
        return flight == null ? result -> ((TextResult) result).text() : flight.resultWriter();
    }
}
