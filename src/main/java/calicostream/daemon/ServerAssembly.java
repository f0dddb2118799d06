// SPDX-License-Identifier: Apache-2.0
package calicostream.daemon;

import calicostream.config.ConfigFile;
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
 * Who puts the parts of a front end together. A part that is off costs a look for its file and
 * nothing more: its classes are named in here only behind that look, so the virtual machine never
 * loads them.
 */
public final class ServerAssembly {
    private ServerAssembly() {}

    /**
     * A front end as its configuration and the files of the {@code deploy} folder say. {@code
     * shared} is the folder that this front end's processes have in common, or null. {@code
     * clusterFile} has the cluster's settings, or is null.
     */
    public static FrontEndServer assemble(
            FrontEndConfig config, Path deploy, Path shared, Path clusterFile) throws IOException {
        FlightConfig flightConfig = flight(deploy.resolve("flight.json"));
        SyslogConfig syslogConfig = syslog(deploy.resolve("syslog.json"));
        ClusterComponent cluster = clusterFile == null ? null : ClusterComponent.read(clusterFile);
        Descriptors descriptors =
                Descriptors.of(config.sockets()); // Counts what is open: before anything else is.
        if (cluster != null) {
            descriptors = descriptors.beside(config.sockets(), cluster.descriptors());
        }
        SelectorLoop loop = new SelectorLoop(new Clock(), new Deadlines());
        SettingsParser settings = config.settings();
        FlightComponent flight =
                flightConfig == null ? null : new FlightComponent(loop, settings, flightConfig);

        EngineClient engines = flight == null ? null : flight.engines();
        boolean wide = engines != null;
        engines =
                wide
                        ? engines
                        : new RespEngineClient(
                                loop,
                                settings.classNames(),
                                settings.connectionSettings(),
                                descriptors.engines());
        RouterSettings decided =
                wide ? settings.settings().withoutProgressNotes() : settings.settings();
        List<RequestListener> watchers = watchers(loop, config, flight, syslogConfig);
        engines = cluster == null ? engines : cluster.gated(loop, engines, watchers);
        Gateway gateway =
                new Gateway(
                        loop.clock(), loop.deadlines(), decided, CompositeListener.of(watchers));

        List<Service> services = new ArrayList<>();
        if (flight != null) {
            services.add(flight.front(gateway));
        }
        Function<RequestResult, byte[]> text =
                flight == null ? result -> ((TextResult) result).text() : flight.text();
        if (cluster != null) {
            cluster.join(loop, gateway);
            services.add(cluster);
        }
        return new FrontEndServer(
                config,
                new ServerComponents(descriptors, loop, gateway, engines, text, services),
                shared);
    }

    private static FlightConfig flight(Path file) {
        return ConfigFile.isEnabled(file) ? FlightConfig.read(file) : null;
    }

    private static SyslogConfig syslog(Path file) {
        return ConfigFile.isEnabled(file) ? SyslogConfig.read(file) : null;
    }

    private static List<RequestListener> watchers(
            SelectorLoop loop, FrontEndConfig config, FlightComponent flight, SyslogConfig syslog)
            throws IOException {
        List<RequestListener> out = new ArrayList<>();
        if (flight != null) {
            out.add(flight.watcher());
        }
        if (syslog != null) {
            out.add(new SyslogSender(loop, syslog, config.name(), config.settings().classNames()));
        }
        return out;
    }
}
