// SPDX-License-Identifier: Apache-2.0
/**
 * Owns the simulator's binary protocol: frames of events in, frames of actions out, and one router
 * instance for each simulated gateway. It does not know how the router decides. Read {@link
 * calicostream.adapter.SimulatorAdapter} first.
 */
package calicostream.adapter;
