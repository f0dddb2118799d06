// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.Map;

/**
 * Shares hints on ejected engines among the front ends of the fleet, so that one process probes an
 * ejected engine and the others learn the result. The lease's holder publishes which engines its
 * front end has ejected and probes, and which of them have served since; the others take that as a
 * hint with an age, which moves their own next probe. A hint never makes a front end use or eject
 * an engine, and a process that receives none probes by itself, as without a cluster.
 *
 * <p>The holder publishes its present view and not changes, so a lost message costs one repeat
 * interval. Confined to the session's thread; no I/O.
 */
public final class EjectionHints implements LeasedTask {
    /** The lease under which one process probes. */
    public static final String LEASE = "trials";

    /** How often it is published that an engine has served again. */
    static final int REINSTATEMENT_PUBLICATIONS = 3;

    /** Most engines in one message, and most hints kept. */
    static final int MAX_ENGINES = 1024;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * The last that was heard of an engine elsewhere.
     *
     * @param served true: it has served a query since its ejection; false: it is ejected
     * @param ageNanos least age of that information, in nanoseconds
     */
    public record Hint(boolean served, long ageNanos) {
        Hint older(long nanos) {
            return new Hint(served, ageNanos + nanos);
        }
    }

    /**
     * A front end's view of the engines that may be used. Both arrays in ascending order; not
     * copied.
     *
     * @param ejected identifiers of engines that receive nothing but probes
     * @param inUse identifiers of all others
     */
    public record EngineView(long[] ejected, long[] inUse) {}

    /**
     * The local front end. Both methods are called on the session's thread and must return at once,
     * from state in memory.
     */
    public interface FrontEnd {
        /** The engines as of some moments ago. */
        EngineView view();

        /**
         * Another process probes the engine, or has had an answer from it. Without effect if the
         * engine is not ejected here.
         *
         * @param served whether the engine has answered
         */
        void onHint(long engine, boolean served);
    }

    private final FrontEnd frontEnd;
    private final EjectionHintPublisher publisher = new EjectionHintPublisher();
    private final EjectionHintReceiver receiver;
    private boolean holding;
    private long lastUpdateAt;

    /**
     * @param frontEnd the local front end
     */
    public EjectionHints(FrontEnd frontEnd) {
        this.frontEnd = frontEnd;
        receiver = new EjectionHintReceiver(frontEnd);
    }

    @Override
    public String lease() {
        return LEASE;
    }

    @Override
    public void onStarted(FencedActions actions) {
        holding = true;
        publisher.reset();
    }

    @Override
    public void onStopped() {
        holding = false;
    }

    @Override
    public void step(FencedActions actions, long nowNanos) {
        if (publisher.isThrottled(nowNanos)) {
            return;
        }
        lastUpdateAt = nowNanos;
        publisher
                .update(nowNanos, frontEnd.view())
                .ifPresent(message -> actions.submit(message.encode(), outcome -> {}));
    }

    /**
     * @throws calicostream.cluster.ClusterException.Malformed if the payload is not an {@link
     *     EjectionHintMessage}; the state is unchanged then
     */
    @Override
    public void onAction(long token, byte[] payload, long nowNanos) {
        EjectionHintMessage message = EjectionHintMessage.decode(payload);
        if (!receiver.accept(token, message)) {
            return;
        }
        lastUpdateAt = nowNanos;
        if (!holding) {
            message.entries().forEach(entry -> receiver.apply(entry, nowNanos));
        }
    }

    /** The last hint received for each engine, newest last. */
    public Map<Long, Hint> hints(long nowNanos) {
        return receiver.hints(nowNanos);
    }

    @Override
    public String statusJson() {
        StringBuilder out = new StringBuilder("{\"words\":");
        out.append(publisher.messageCount()).append(",\"hints\":{");
        String separator = "";
        for (Map.Entry<Long, Hint> each : hints(lastUpdateAt).entrySet()) {
            out.append(separator)
                    .append('"')
                    .append(Long.toHexString(each.getKey()))
                    .append("\":{\"served\":")
                    .append(each.getValue().served())
                    .append(",\"age_ms\":")
                    .append(each.getValue().ageNanos() / NANOS_PER_MILLI)
                    .append('}');
            separator = ",";
        }
        return out.append("}}").toString();
    }
}
