// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import java.util.ArrayList;
import java.util.List;

/**
 * Whom a member's session may ask, by number; pure, one thread. It begins with the first voters. A
 * copy at hand knows the present ones; without one, a leader that another voter named is added, so
 * that a member finds a group whose first voters are all gone but one.
 */
final class VoterDirectory {
    private List<Integer> members;

    VoterDirectory(List<Integer> first) {
        members = List.copyOf(first);
    }

    List<Integer> members() {
        return members;
    }

    /** True if it was not known. */
    boolean addLeader(int leader) {
        if (leader <= 0 || members.contains(leader)) {
            return false;
        }
        List<Integer> more = new ArrayList<>(members);
        more.add(leader);
        members = List.copyOf(more);
        return true;
    }

    /** True if these are not the known ones. */
    boolean replaceWith(List<Integer> present) {
        if (present.isEmpty() || members.equals(present)) {
            return false;
        }
        members = List.copyOf(present);
        return true;
    }
}
