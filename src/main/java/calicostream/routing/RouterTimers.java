// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Schedules the router's timers: its tick, and one for the answer to each query. */
final class RouterTimers {
    /** Time between ticks; short against latency objectives. */
    static final long TICK_MICROS = 50_000;

    /** Token of the tick's timer; a query's timer has its id plus one. */
    static final long TICK_TOKEN = 0;

    /** Ticks of the gateway before the client's deadline at which a query is answered. */
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

    /** Schedules the last moment at which a query can be answered. */
    void scheduleAnswer(Query query) {
        long delay = query.timeLeftUs() - ANSWER_LEAD_TICKS * gatewayTickMicros;
        actions.scheduleTimer(Math.max(1, delay), query.id() + 1);
    }

    /** Returns the query whose answer is due, given a token other than the tick's. */
    static long queryOf(long token) {
        return token - 1;
    }
}
