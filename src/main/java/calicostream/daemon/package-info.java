// SPDX-License-Identifier: Apache-2.0
/**
 * Owns the assembly of the server from its components, each optional one in a class of its own, so
 * that nothing of it is loaded where it is disabled. It knows all packages and only {@code Main}
 * knows it; it makes no decisions about requests. Read {@link calicostream.daemon.ServerAssembly}
 * first.
 */
package calicostream.daemon;
