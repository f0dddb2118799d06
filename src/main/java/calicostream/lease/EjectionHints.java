// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.Map;

/**
 * Shares ejection hints among the front ends of the fleet, so that one process probes an ejected
 * engine and the others use the result. The holder of the lease publishes which engines its front
 * end has ejected and probes, and which of them have served a query since; the other processes
 * treat this as an ejection hint with an age, which reschedules their own next probe. A hint never
 * makes a front end use or eject an engine, and a process that receives no hints probes on its own
 * schedule, as it does without a cluster.
 *
 * <p>The holder publishes its complete current view instead of changes, so a lost message delays a
 * hint by at most one repeat interval. Confined to the session's thread; no I/O.
 */
public final class EjectionHints implements LeasedTask {
    /** Name of the lease whose holder publishes the hints. */
    public static final String LEASE = "trials";

    /**
     * Number of messages that carry the same reinstatement; repeated because messages may be lost.
     */
    static final int REINSTATEMENT_PUBLICATIONS = 3;

    /** Maximum number of engines in one message, and of hints stored by a receiver. */
    static final int MAX_ENGINES = 1024;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * The most recent information about an engine from the holder of the lease.
     *
     * @param served true: the engine has served a query since its ejection; false: it is ejected
     * @param ageNanos minimum age of the information, in nanoseconds; the transit time of the
     *     message is not included
     */
    public record Hint(boolean served, long ageNanos) {
        Hint agedBy(long nanos) {
            return new Hint(served, ageNanos + nanos);
        }
    }

    /**
     * A front end's view of the ready engines in its endpoint list. Both arrays in ascending order;
     * not copied.
     *
     * @param ejected identifiers of the engines that receive only probes
     * @param inUse identifiers of all other engines
     */
    public record EngineView(long[] ejected, long[] inUse) {}

    /**
     * The local front end. Both methods are called on the session's thread and must return
     * immediately, using only state in memory.
     */
    public interface FrontEnd {
        /** The current view of the engines; may be slightly stale. */
        EngineView view();

        /**
         * Called when the holder of the lease has ejected the engine and probes it, or when the
         * engine has served a query there. Has no effect if the engine is not ejected at the local
         * front end.
         *
         * @param served whether the engine has served a query since its ejection
         */
        void onHint(long engine, boolean served);
    }

    private final FrontEnd frontEnd;
    private final EjectionHintPublisher publisher = new EjectionHintPublisher();
    private final EjectionHintReceiver receiver;
    private boolean holdsLease;
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
        holdsLease = true;
        publisher.reset();
    }

    @Override
    public void onStopped() {
        holdsLease = false;
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
     *     EjectionHintMessage}; the state is then unchanged
     */
    @Override
    public void onAction(long token, byte[] payload, long nowNanos) {
        EjectionHintMessage message = EjectionHintMessage.decode(payload);
        if (!receiver.accept(token, message)) {
            return;
        }
        lastUpdateAt = nowNanos;
        if (!holdsLease) {
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
        for (Map.Entry<Long, Hint> hint : hints(lastUpdateAt).entrySet()) {
            out.append(separator)
                    .append('"')
                    .append(Long.toHexString(hint.getKey()))
                    .append("\":{\"served\":")
                    .append(hint.getValue().served())
                    .append(",\"age_ms\":")
                    .append(hint.getValue().ageNanos() / NANOS_PER_MILLI)
                    .append('}');
            separator = ",";
        }
        return out.append("}}").toString();
    }
}
