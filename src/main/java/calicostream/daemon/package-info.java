// SPDX-License-Identifier: Apache-2.0
/**
 * Puts the parts of the program together, each of those that are off by default in a class of its
 * own, so that nothing of them is loaded where they stay off. It knows all packages, and none knows
 * it but {@code Main}; it decides nothing and holds no state once the front end runs. Read {@link
 * calicostream.daemon.Composition} first.
 */
package calicostream.daemon;
