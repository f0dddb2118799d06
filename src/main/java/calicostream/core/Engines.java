// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.net.InetSocketAddress;

/**
 * The way to the engines. Calls take effect at once or later; what becomes of an attempt is told by
 * {@link Gateway#ended}, once, unless {@link #stop} came first.
 */
public interface Engines {
    /** Called once, before anything else: where ends and news of attempts are told. */
    void attach(Gateway gateway);

    /** Where an engine listens, told before the engine is first sent to and when that changes. */
    void locate(long engine, InetSocketAddress address);

    /** Starts an attempt; nothing of it may go out after a {@link #withdrawn} for its engine. */
    void send(Gateway.Attempt attempt);

    /** Gives the attempt up; nothing more need be told of it. */
    void stop(Gateway.Attempt attempt);

    /** Asks an engine how it fares, which ends in one {@link Gateway#probed}, later; false: it can't be asked. */
    default boolean probe(long engine) {
        return false;
    }

    /** At most so many connections to all engines together from now on, where a bound on them is kept. */
    default void most(int connections) { }

    /** A new priority for an attempt that is out. */
    void priority(Gateway.Attempt attempt);

    /** The engine drains: what has not gone out to it must not. */
    void withdrawn(long engine);

    /** The engine is put back after operators had it: nothing new may use a connection from before. */
    void renewed(long engine);

    /** The engine's process has ended: attempts there end, and all that is kept for it is forgotten. */
    void gone(long engine);
}
