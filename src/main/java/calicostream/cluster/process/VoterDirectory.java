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
    private List<Integer> numbers;

    VoterDirectory(List<Integer> first) {
        numbers = List.copyOf(first);
    }

    List<Integer> numbers() {
        return numbers;
    }

    /** True if it was not known. */
    boolean named(int leader) {
        if (leader <= 0 || numbers.contains(leader)) {
            return false;
        }
        List<Integer> more = new ArrayList<>(numbers);
        more.add(leader);
        numbers = List.copyOf(more);
        return true;
    }

    /** True if these are not the known ones. */
    boolean are(List<Integer> present) {
        if (present.isEmpty() || numbers.equals(present)) {
            return false;
        }
        numbers = List.copyOf(present);
        return true;
    }
}
