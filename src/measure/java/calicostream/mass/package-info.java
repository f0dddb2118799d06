// SPDX-License-Identifier: Apache-2.0
/**
 * A model in virtual time of many front ends that share engines and can't talk: each is a decision
 * module of its own, and the model keeps the accounts that the rules ask for over all of them. It
 * knows no sockets and no wall clock; a seed decides a run. Read {@link
 * calicostream.mass.SimulatedFleet} first.
 */
package calicostream.mass;
