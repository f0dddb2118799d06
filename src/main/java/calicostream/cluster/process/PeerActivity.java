// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** When each peer was last heard of. Pure, one thread, monotonic nanoseconds. */
final class PeerActivity {
    private final Map<Integer, Long> lastFrameNanos = new HashMap<>();

    void onFrame(int member, long nowNanos) {
        lastFrameNanos.put(member, nowNanos);
    }

    /**
     * The members, the most recently heard one first.
     *
     * @param silenceNanos taken for a member that was never heard
     */
    List<Integer> mostRecentFirst(List<Integer> members, long nowNanos, long silenceNanos) {
        long neverHeard = nowNanos - silenceNanos;
        List<Integer> sorted = new ArrayList<>(members);
        sorted.sort(
                Comparator.comparingLong(
                        (Integer member) ->
                                nowNanos - lastFrameNanos.getOrDefault(member, neverHeard)));
        return sorted;
    }
}
