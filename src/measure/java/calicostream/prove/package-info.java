// SPDX-License-Identifier: Apache-2.0
/**
 * Owns an explicit-state model checker: it visits every state that a bounded model can reach,
 * breadth first, and prints the shortest trace to a violated invariant. It knows no lease, log or
 * clock; models bring the product's own classes and the faults, and {@link
 * calicostream.prove.Mutant} names the safeguards that they can remove, to show that the checker
 * detects what it should. Read {@link calicostream.prove.Explorer} first.
 */
package calicostream.prove;
