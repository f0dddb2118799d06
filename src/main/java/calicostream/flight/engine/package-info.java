// SPDX-License-Identifier: Apache-2.0
/**
 * The engine side of Flight SQL: it turns {@link calicostream.flight.wire.EngineOperation} into
 * calls at the engine that the module chose, and their ends into outcomes. It makes no choice of
 * its own and knows no client. Read {@link calicostream.flight.engine.FlightEngineClient} first.
 */
package calicostream.flight.engine;
