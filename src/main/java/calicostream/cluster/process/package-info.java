// SPDX-License-Identifier: Apache-2.0

/**
 * Owns a member as it runs in a process: its thread, folder, links and session, how it starts, what
 * it tells operators and takes from them, and its planned stop. It does not know what the machines
 * of its {@link calicostream.cluster.process.ReplicatedService}s mean, nor the front end beside it,
 * which never waits for it. Read {@link calicostream.cluster.process.Member} first.
 */
package calicostream.cluster.process;
