// SPDX-License-Identifier: Apache-2.0
package calicostream.mass;

import java.util.PriorityQueue;

/** Virtual time: what is due next, in the order made where due together. */
public final class FleetClock {
    private record Due(long at, long number, Runnable work) {}

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.number, b.number));
    private long now = 1_000_000_000_000L;
    private long made;

    public long now() {
        return now;
    }

    public void after(long us, Runnable work) {
        due.add(new Due(now + Math.max(0, us), made++, work));
    }

    public void run(long until) {
        while (!due.isEmpty() && due.peek().at <= until) {
            Due next = due.poll();
            now = next.at;
            next.work.run();
        }
        now = Math.max(now, until);
    }
}
