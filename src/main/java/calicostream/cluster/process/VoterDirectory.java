// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import java.util.ArrayList;
import java.util.List;

/**
 * The members, by number, that this member's session may contact. It begins with the initial
 * voters. A member with a copy of the state replaces them by the present ones; without one, a
 * leader that another voter names is added, so that a member finds a group of whose initial voters
 * only one is left. Pure, one thread.
 */
final class VoterDirectory {
    private List<Integer> members;

    VoterDirectory(List<Integer> initial) {
        members = List.copyOf(initial);
    }

    List<Integer> members() {
        return members;
    }

    /**
     * Adds a leader that another voter named; 0 is none.
     *
     * @return whether it is new
     */
    boolean addLeader(int leader) {
        if (leader <= 0 || members.contains(leader)) {
            return false;
        }
        List<Integer> extended = new ArrayList<>(members);
        extended.add(leader);
        members = List.copyOf(extended);
        return true;
    }

    /**
     * Replaces the members by the present voters, unless there are none.
     *
     * @return whether they changed
     */
    boolean replaceWith(List<Integer> present) {
        if (present.isEmpty() || members.equals(present)) {
            return false;
        }
        members = List.copyOf(present);
        return true;
    }
}
