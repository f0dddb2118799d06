// SPDX-License-Identifier: Apache-2.0
package calicostream.daemon;

import calicostream.QueryRouter;
import calicostream.SettingsParser;
import calicostream.core.Engines;
import calicostream.core.Gateway;
import calicostream.core.Service;
import calicostream.core.Watcher;
import calicostream.flight.ArrowRows;
import calicostream.flight.FlightConfig;
import calicostream.flight.engine.FlightEngines;
import calicostream.flight.front.FlightFront;
import calicostream.flight.state.Admission;
import calicostream.net.Loop;
import java.util.function.Function;

/** Flight SQL as a part of the program: its front and, where engines speak it, its engine side. */
final class FlightPart {
    private final Loop loop;
    private final SettingsParser settings;
    private final FlightConfig config;
    private final Admission admission;
    private final FlightEngines engines;

    FlightPart(Loop loop, SettingsParser settings, FlightConfig config) {
        this.loop = loop;
        this.settings = settings;
        this.config = config;
        admission =
                new Admission(
                        config.calls(),
                        config.callsPerClient(),
                        config.bytesInFlight(),
                        config.mostStreams());
        engines =
                config.flightEngines()
                        ? new FlightEngines(loop, settings, config, admission)
                        : null;
    }

    /** Null where engines are reached by the platform's protocol. */
    Engines engines() {
        return engines;
    }

    /** The engine side hears the list, too: transactions end with the process that holds them. */
    Watcher watcher() {
        return engines == null
                ? Watcher.NONE
                : new Watcher() {
                    @Override
                    public void engine(QueryRouter.Engine engine) {
                        engines.listed(engine);
                    }
                };
    }

    Function<Object, byte[]> text() {
        return ArrowRows::text;
    }

    Service front(Gateway gateway) {
        return new FlightFront(loop, gateway, config, settings, admission, engines);
    }
}
