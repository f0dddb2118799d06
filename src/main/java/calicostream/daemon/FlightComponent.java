// SPDX-License-Identifier: Apache-2.0
package calicostream.daemon;

import calicostream.core.EngineClient;
import calicostream.core.Gateway;
import calicostream.core.RequestListener;
import calicostream.core.RequestResult;
import calicostream.core.Service;
import calicostream.flight.ArrowRows;
import calicostream.flight.FlightConfig;
import calicostream.flight.engine.FlightEngineClient;
import calicostream.flight.front.FlightSqlServer;
import calicostream.flight.state.Admission;
import calicostream.net.SelectorLoop;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.SettingsParser;
import java.util.function.Function;

/** Flight SQL as a part of the program: its front and, where engines speak it, its engine side. */
final class FlightComponent {
    private final SelectorLoop loop;
    private final SettingsParser settings;
    private final FlightConfig config;
    private final Admission admission;
    private final FlightEngineClient engines;

    FlightComponent(SelectorLoop loop, SettingsParser settings, FlightConfig config) {
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
                        ? new FlightEngineClient(loop, settings, config, admission)
                        : null;
    }

    /** Null where engines are reached by the platform's protocol. */
    EngineClient engines() {
        return engines;
    }

    /** The engine side hears the list, too: transactions end with the process that holds them. */
    RequestListener watcher() {
        return engines == null
                ? RequestListener.NONE
                : new RequestListener() {
                    @Override
                    public void engineChanged(EngineEndpoint engine) {
                        engines.listed(engine);
                    }
                };
    }

    Function<RequestResult, byte[]> text() {
        return ArrowRows::text;
    }

    Service front(Gateway gateway) {
        return new FlightSqlServer(loop, gateway, config, settings, admission, engines);
    }
}
