// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import io.microraft.RaftEndpoint;

/**
 * The identity of a voter or learner. A member whose disk lost what it had promised returns under
 * its next generation, so that its vote can't be given twice: to the other voters it is a new one.
 * Immutable.
 *
 * @param member the member's number in the settings
 * @param generation 0 at first, raised by an operator after a loss of state
 */
public record Voter(int member, int generation) implements RaftEndpoint {
    @Override
    public Object getId() {
        return (long) member << 32 | generation;
    }

    /** {@code MEMBER.GENERATION}, as operators and stored votes have it. */
    @Override
    public String toString() {
        return member + "." + generation;
    }
}
