// SPDX-License-Identifier: Apache-2.0
/**
 * An explicit-state model checker: it visits every state that a bounded model can reach, breadth
 * first, and prints the shortest way to one that breaks a promise. It knows no lease, log or clock;
 * models bring the product's own classes and the faults, and {@link calicostream.prove.Mutant}
 * names the safeguards that they can take out, to show that the checker finds what it should. Read
 * {@link calicostream.prove.Explorer} first.
 */
package calicostream.prove;
