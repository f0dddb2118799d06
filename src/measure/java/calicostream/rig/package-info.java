// SPDX-License-Identifier: Apache-2.0
/**
 * Real processes of the program with a relay on every directed link between them, stand-ins for
 * what is around them, a record of what happened at those stand-ins, and a judge of that record
 * which knows no class of the program. It decides nothing for the program and reads nothing of its
 * memory. Read {@link calicostream.rig.OperationHistoryChecker} first.
 */
package calicostream.rig;
