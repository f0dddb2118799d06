// SPDX-License-Identifier: Apache-2.0

/**
 * Owns a member as it runs in a process: its thread, folder, links and session, its start, its
 * status and commands for operators, and its planned stop. It does not know what the state machines
 * of its {@link calicostream.cluster.process.ReplicatedService}s mean, nor the front end beside it,
 * which never waits for it. Read {@link calicostream.cluster.process.Member} first, then {@link
 * calicostream.cluster.process.MemberNode}.
 */
package calicostream.cluster.process;
