// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

/**
 * A connection to an engine. What an engine made for this front end is known to be there only while
 * the connection lasts: afterwards another process may listen at the engine's address and use the
 * same names for what it made for others.
 *
 * @param engine the identifier of the engine; 0 for any
 * @param number the number of the connection; 0 for any
 */
public record EngineConnection(long engine, long number) {
    /** Any connection to any engine. */
    public static final EngineConnection ANY = new EngineConnection(0, 0);

    /** Any connection to this engine. */
    public static EngineConnection anyTo(long engine) {
        return new EngineConnection(engine, 0);
    }
}
