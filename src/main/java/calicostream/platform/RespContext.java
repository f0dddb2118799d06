// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.core.Gateway;
import calicostream.net.SelectorLoop;
import calicostream.routing.SettingsParser.ConnectionSettings;
import java.util.List;

/** State shared by all connections to engines. Used by the event loop's thread only. */
final class RespContext {
    private final SelectorLoop loop;
    private final List<String> classNames;
    private final ConnectionSettings settings;
    private Gateway gateway;

    RespContext(SelectorLoop loop, List<String> classNames, ConnectionSettings settings) {
        this.loop = loop;
        this.classNames = classNames;
        this.settings = settings;
    }

    void attach(Gateway newGateway) {
        gateway = newGateway;
    }

    Gateway gateway() {
        return gateway;
    }

    SelectorLoop loop() {
        return loop;
    }

    ConnectionSettings settings() {
        return settings;
    }

    /** The name of a query class on the wire. */
    String className(int queryClass) {
        return classNames.get(queryClass);
    }

    /** The current time of the router's clock, in microseconds. */
    long now() {
        return loop.clock().now();
    }

    /** Runs a task on the event loop after a delay in microseconds. */
    void schedule(long delayMicros, Runnable task) {
        loop.deadlines().add(now() + delayMicros, (now, reference) -> task.run(), 0);
    }
}
