// SPDX-License-Identifier: Apache-2.0
/**
 * Flight's messages as both sides of the front end handle them: a frame of a stream that passes
 * undecoded, what an engine is asked to do, and what it answers. It knows gRPC and Arrow's formats,
 * and neither clients, engines nor decisions. Read {@link calicostream.flight.wire.SimulatorFrame}
 * first.
 */
package calicostream.flight.wire;
