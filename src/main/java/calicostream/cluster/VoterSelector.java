// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.List;

/**
 * Chooses the voter that a member sends its requests to: one after the other until one names the
 * leader. Pure; used by one thread.
 */
final class VoterSelector {
    private List<Integer> voters;
    private int position;

    VoterSelector(List<Integer> voters) {
        this.voters = List.copyOf(voters);
    }

    void update(List<Integer> newVoters) {
        voters = List.copyOf(newVoters);
    }

    int current() {
        return voters.get(Math.floorMod(position, voters.size()));
    }

    void advance() {
        position++;
    }

    /**
     * Follows a voter's redirect to the leader, or goes on to the next voter if the leader that it
     * names is unknown or itself.
     */
    void redirect(int from, int leader) {
        int leaderPosition = voters.indexOf(leader);
        position = leaderPosition >= 0 && leader != from ? leaderPosition : position + 1;
    }
}
