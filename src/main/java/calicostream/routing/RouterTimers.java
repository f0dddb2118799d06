// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Schedules the router's periodic tick and one timer for the answer to each query. */
final class RouterTimers {
    /** Time between ticks; short compared to latency objectives. */
    static final long TICK_MICROS = 50_000;

    /** Timer token of the tick; the token of a query's timer is its id plus one. */
    static final long TICK_TOKEN = 0;

    /** Number of gateway timer ticks before the client's deadline at which a query is answered. */
    private static final long ANSWER_LEAD_TICKS = 2;

    private final RouterActions actions;
    private final long gatewayTickMicros;

    RouterTimers(RouterActions actions, long gatewayTickMicros) {
        this.actions = actions;
        this.gatewayTickMicros = gatewayTickMicros;
    }

    void scheduleTick() {
        actions.scheduleTimer(TICK_MICROS, TICK_TOKEN);
    }

    /** Schedules the timer for the last time at which a query can be answered. */
    void scheduleAnswer(Query query) {
        long delay = query.timeLeftUs() - ANSWER_LEAD_TICKS * gatewayTickMicros;
        actions.scheduleTimer(Math.max(1, delay), query.id() + 1);
    }

    /** Returns the id of the query that the token of an answer timer belongs to. */
    static long queryIdOf(long token) {
        return token - 1;
    }
}
