// SPDX-License-Identifier: Apache-2.0
/**
 * What the processes of one front end tell each other while one takes over from another: one file
 * of slots, and what the slots of the living mean. It knows neither sockets nor the decision
 * module, and opens nothing after its start. Read {@link calicostream.handover.HotRestart} first.
 */
package calicostream.handover;
