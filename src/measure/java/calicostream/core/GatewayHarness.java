// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.LoadReport;
import calicostream.routing.SettingsParser;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;

/**
 * A {@link Gateway} between a fake engine client and a response handler that records its calls, on
 * a clock that the test advances (microseconds). One thread.
 */
public class GatewayHarness implements EngineClient, ResponseHandler {
    /** Settings with a query class of lookups and one of loads. */
    public static final String TWO_CLASSES =
            "lanes.count=2\n"
                    + "lanes.0.name=look\n"
                    + "lanes.0.effect=repeatable\n"
                    + "lanes.0.aim_us=800000\n"
                    + "lanes.0.deadline_us=4000000\n"
                    + "lanes.1.name=load\n"
                    + "lanes.1.effect=once\n"
                    + "lanes.1.aim_us=4000000\n"
                    + "lanes.1.deadline_us=20000000\n"
                    + "family_info.kind_cores=12\n"
                    + "family_info.kind_memory_mb=24576\n"
                    + "ceilings.max_attempts=3\n"
                    + "ceilings.cancel=true\n"
                    + "tick_us=5000\n"
                    + "family_info.holds_tables=false,true\n"
                    + "family_info.waits_for_loads=true,false\n"
                    + "family_info.width_by_class=1,2\n"
                    + "rules.cold_share=0.3\n"
                    + "rules.overload_factor=4\n"
                    + "rules.fall_us=2000000\n"
                    + "rules.warm_up_us=14000000\n";

    public final Deadlines deadlines = new Deadlines();
    public final Gateway gateway;

    /** In the order in which they were sent. */
    public final List<Attempt> sent = new ArrayList<>();

    /** The calls to engine client and response handler, a line each. */
    public final List<String> notifications = new ArrayList<>();

    /** The ended attempts, each as its engine and outcome. */
    public final List<String> endedAttempts = new ArrayList<>();

    /** The requests that were not admitted, while {@link #keepsRequests}. */
    public final List<Request> keptRequests = new ArrayList<>();

    /** Engines where no tenant has capacity. */
    public final Set<Long> enginesWithoutCapacity = new HashSet<>();

    /** Tags of requests whose clients have gone, of which the gateway is not notified. */
    public final Set<Long> goneClients = new HashSet<>();

    /** Whether the engine client keeps requests back from the router. */
    public boolean keepsRequests;

    /** How attempts end while they are being sent; null: when the test ends them. */
    public AttemptOutcome immediateOutcome;

    public long time = 1_000_000;

    public GatewayHarness(String settings) {
        gateway =
                new Gateway(
                        new Clock() {
                            @Override
                            public long now() {
                                return time;
                            }
                        },
                        deadlines,
                        SettingsParser.ofLines(settings).settings(),
                        RequestListener.NONE);
    }

    public static EngineEndpoint engine(long id, EngineLifecycle state) {
        return new EngineEndpoint(id, 0, 0, 0, 0, state);
    }

    /** All of these engines are ready. */
    public void start(long... engines) {
        gateway.start(
                this,
                LongStream.of(engines).mapToObj(id -> engine(id, EngineLifecycle.READY)).toList());
    }

    /** Advances the clock, and runs each deadline on the way. */
    public void advance(long us) {
        for (long end = time + us; time < end; ) {
            time = Math.max(time, Math.min(end, deadlines.next()));
            deadlines.run(time);
        }
    }

    @Override
    public void attach(Gateway to) {}

    @Override
    public void setAddress(long engine, InetSocketAddress address) {}

    @Override
    public void send(Attempt attempt) {
        sent.add(attempt);
        if (immediateOutcome != null) {
            gateway.attemptEnded(attempt, immediateOutcome, null, null);
        }
    }

    @Override
    public void stop(Attempt attempt) {
        notifications.add("stop " + attempt.number());
    }

    @Override
    public boolean admits(Request request) {
        if (keepsRequests) {
            keptRequests.add(request);
        }
        return !keepsRequests;
    }

    @Override
    public boolean hasTenantCapacity(Request request, long engine) {
        return !enginesWithoutCapacity.contains(engine);
    }

    @Override
    public void attemptEnded(Attempt attempt, AttemptOutcome outcome, LoadReport report) {
        endedAttempts.add(attempt.engine() + " " + outcome);
    }

    @Override
    public void priorityChanged(Attempt attempt) {}

    @Override
    public void engineDraining(long engine) {
        notifications.add("draining " + engine);
    }

    @Override
    public void engineReinstated(long engine) {
        notifications.add("reinstated " + engine);
    }

    @Override
    public void engineRemoved(long engine) {
        notifications.add("removed " + engine);
    }

    @Override
    public boolean isClientGone(long tag) {
        return goneClients.contains(tag);
    }

    @Override
    public void served(long tag, RequestResult result) {
        notifications.add(
                result == null
                        ? "completed " + tag
                        : "served " + tag + " " + new String(((TextResult) result).text()));
    }

    @Override
    public void streamBegan(long tag, ResultStreamHandle stream) {
        notifications.add("streaming " + tag + " " + stream);
    }

    @Override
    public void concluded(long tag, FinalStatus status) {
        notifications.add("concluded " + tag + " " + status);
    }

    @Override
    public void rejected(long tag, long retryAfterMs) {
        notifications.add("rejected " + tag);
    }

    @Override
    public void failed(long tag, FailureReason reason) {
        notifications.add("failed " + tag + " " + reason);
    }
}
