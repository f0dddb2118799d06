// SPDX-License-Identifier: Apache-2.0
/**
 * Owns the decision when a server watches the endpoint list again, without I/O and without a clock,
 * so that a whole fleet can be simulated in virtual time. It knows neither connections nor events
 * nor engines. Read {@link calicostream.discovery.WatchBackoff} first.
 */
package calicostream.discovery;
