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
 * A {@link Gateway} with a fake engine client and response handler, both implemented by this class,
 * which records their calls. The test advances the clock, in microseconds. Not thread-safe.
 */
public class GatewayHarness implements EngineClient, ResponseHandler {
    /** Settings with two query classes: 0 for idempotent lookups, 1 for non-idempotent loads. */
    public static final String LOOKUP_AND_LOAD_SETTINGS =
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

    /** The sent attempts, in order. */
    public final List<Attempt> sent = new ArrayList<>();

    /** The recorded calls to the engine client and the response handler, one line each. */
    public final List<String> recordedCalls = new ArrayList<>();

    /** The ended attempts in order, each as "engine outcome". */
    public final List<String> endedAttempts = new ArrayList<>();

    /** The requests that were not admitted while {@link #holdsRequests} was set. */
    public final List<Request> heldRequests = new ArrayList<>();

    /** The ids of engines where no tenant has capacity. */
    public final Set<Long> enginesWithoutCapacity = new HashSet<>();

    /** The tags of requests whose clients are gone without notifying the gateway. */
    public final Set<Long> goneClientTags = new HashSet<>();

    /** Whether the engine client holds new requests instead of admitting them to the router. */
    public boolean holdsRequests;

    /** The outcome with which attempts end inside {@link #send}; null: the test ends them. */
    public AttemptOutcome immediateOutcome;

    /** The current time of the gateway's clock, in microseconds. */
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

    public static EngineEndpoint engine(long id, EngineLifecycle lifecycle) {
        return new EngineEndpoint(id, 0, 0, 0, 0, lifecycle);
    }

    /** Starts the gateway with these engines, all ready. */
    public void start(long... engines) {
        gateway.start(
                this,
                LongStream.of(engines).mapToObj(id -> engine(id, EngineLifecycle.READY)).toList());
    }

    /** Advances the clock and runs each deadline at its time. */
    public void advance(long micros) {
        for (long endTime = time + micros; time < endTime; ) {
            time = Math.max(time, Math.min(endTime, deadlines.next()));
            deadlines.run(time);
        }
    }

    @Override
    public void attach(Gateway attachedGateway) {}

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
    public void cancel(Attempt attempt) {
        recordedCalls.add("stop " + attempt.number());
    }

    @Override
    public boolean admits(Request request) {
        if (holdsRequests) {
            heldRequests.add(request);
        }
        return !holdsRequests;
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
        recordedCalls.add("draining " + engine);
    }

    @Override
    public void engineReinstated(long engine) {
        recordedCalls.add("reinstated " + engine);
    }

    @Override
    public void engineRemoved(long engine) {
        recordedCalls.add("removed " + engine);
    }

    @Override
    public boolean isClientGone(long tag) {
        return goneClientTags.contains(tag);
    }

    @Override
    public void served(long tag, RequestResult result) {
        recordedCalls.add(
                result == null
                        ? "completed " + tag
                        : "served " + tag + " " + new String(((TextResult) result).text()));
    }

    @Override
    public void streamBegan(long tag, ResultStreamHandle stream) {
        recordedCalls.add("streaming " + tag + " " + stream);
    }

    @Override
    public void answeredWithStatus(long tag, FinalStatus status) {
        recordedCalls.add("concluded " + tag + " " + status);
    }

    @Override
    public void rejected(long tag, long retryAfterMs) {
        recordedCalls.add("rejected " + tag);
    }

    @Override
    public void failed(long tag, FailureReason reason) {
        recordedCalls.add("failed " + tag + " " + reason);
    }
}
