// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import io.microraft.RaftEndpoint;

/**
 * A voter or learner: the member and its generation. A member whose disk lost what it had promised
 * comes back under the next generation, so that its old vote can't be given twice: to the others it
 * is somebody new. Immutable.
 */
public record Voter(int member, int generation) implements RaftEndpoint {
    @Override
    public Object getId() {
        return (long) member << 32 | generation;
    }

    @Override
    public String toString() {
        return member + "." + generation;
    }
}
