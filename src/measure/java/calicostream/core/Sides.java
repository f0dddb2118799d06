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
 * Both sides of a {@link Gateway}, which record what it tells them and do what they are told to, on
 * a clock that who uses it turns (microseconds). One thread.
 */
public class Sides implements EngineClient, ResponseHandler {
    /** A lane of lookups and one of loads. */
    public static final String TWO_LANES =
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

    /** What either side was told, a line each. */
    public final List<String> told = new ArrayList<>();

    /** Ends of attempts, each with its engine. */
    public final List<String> overs = new ArrayList<>();

    /** What was not admitted, while {@link #keeps}. */
    public final List<Request> kept = new ArrayList<>();

    /** Engines where no request has room. */
    public final Set<Long> full = new HashSet<>();

    /** Tags of requests whose clients have gone, which nothing but a question tells. */
    public final Set<Long> left = new HashSet<>();

    /** Requests are kept before the module. */
    public boolean keeps;

    /** How attempts end while they are being sent; null: not before somebody says so. */
    public AttemptOutcome atOnce;

    public long time = 1_000_000;

    public Sides(String settings) {
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

    /** Turns the clock to each deadline on the way. */
    public void pass(long us) {
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
        if (atOnce != null) {
            gateway.attemptEnded(attempt, atOnce, null, null);
        }
    }

    @Override
    public void stop(Attempt attempt) {
        told.add("stop " + attempt.number());
    }

    @Override
    public boolean admits(Request request) {
        if (keeps) {
            kept.add(request);
        }
        return !keeps;
    }

    @Override
    public boolean hasTenantCapacity(Request request, long engine) {
        return !full.contains(engine);
    }

    @Override
    public void attemptEnded(Attempt attempt, AttemptOutcome outcome, LoadReport report) {
        overs.add(attempt.engine() + " " + outcome);
    }

    @Override
    public void priorityChanged(Attempt attempt) {}

    @Override
    public void engineDraining(long engine) {
        told.add("draining " + engine);
    }

    @Override
    public void engineReinstated(long engine) {
        told.add("renewed " + engine);
    }

    @Override
    public void engineRemoved(long engine) {
        told.add("gone " + engine);
    }

    @Override
    public boolean isClientGone(long tag) {
        return left.contains(tag);
    }

    @Override
    public void served(long tag, RequestResult result) {
        told.add(
                result == null
                        ? "whole " + tag
                        : "served " + tag + " " + new String(((TextResult) result).text()));
    }

    @Override
    public void streamBegan(long tag, ResultStreamHandle stream) {
        told.add("begun " + tag + " " + stream);
    }

    @Override
    public void concluded(long tag, FinalStatus status) {
        told.add("concluded " + tag + " " + status);
    }

    @Override
    public void rejected(long tag, long retryAfterMs) {
        told.add("refused " + tag);
    }

    @Override
    public void failed(long tag, FailureReason why) {
        told.add("failed " + tag + " " + why);
    }
}
