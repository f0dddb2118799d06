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

/**
 * Flight SQL as an optional component: the server for clients and, where the engines speak Flight
 * SQL, the client for engines.
 */
final class FlightComponent {
    private final SelectorLoop loop;
    private final SettingsParser settings;
    private final FlightConfig config;
    private final Admission admission;

    /** Null where the engines speak the platform's protocol. */
    private final FlightEngineClient engineClient;

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
        engineClient =
                config.flightEngines()
                        ? new FlightEngineClient(loop, settings, config, admission)
                        : null;
    }

    /** Null where the engines speak the platform's protocol. */
    EngineClient engineClient() {
        return engineClient;
    }

    /** Notifies the engine client of engines: transactions end with the engine that holds them. */
    RequestListener listener() {
        if (engineClient == null) {
            return RequestListener.NONE;
        }
        return new RequestListener() {
            @Override
            public void engineChanged(EngineEndpoint engine) {
                engineClient.listed(engine);
            }
        };
    }

    /** Writes a result of either engine client as text. */
    Function<RequestResult, byte[]> resultWriter() {
        return ArrowRows::text;
    }

    Service createServer(Gateway gateway) {
        return new FlightSqlServer(loop, gateway, config, settings, admission, engineClient);
    }
}
