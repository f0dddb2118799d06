// SPDX-License-Identifier: Apache-2.0
/**
 * When a front end asks for the list of engines again: decided here, without I/O and without a
 * clock, so that a whole tier can be played in virtual time. It does not know connections, events
 * or engines. Read {@link calicostream.discovery.WatchBackoff} first.
 */
package calicostream.discovery;
