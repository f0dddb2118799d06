// SPDX-License-Identifier: Apache-2.0
package calicostream.lease.process;

import calicostream.cluster.CommandEffects;
import calicostream.cluster.ExpiryMonitor;
import calicostream.cluster.MemberSession;
import calicostream.cluster.process.ReplicatedService;
import calicostream.lease.LeaseExpiryMonitor;
import calicostream.lease.LeaseMachine;
import calicostream.lease.LeasedTask;
import calicostream.lease.LeasedTaskRunner;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leases as a layer of a member, with the tasks that this process does under them. On the member's
 * thread, but for {@link #add}.
 */
public final class LeaseService implements ReplicatedService {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseService.class);
    private static final long MILLI = 1_000_000L;
    private final LeaseMachine machine;
    private final LeaseExpiryMonitor watch;
    private final List<LeasedTask> added = new ArrayList<>();
    private final Duration ttl;
    private LeasedTaskRunner tasks;

    /**
     * @param ttl of all leases
     * @param heartbeat at which a leader counts them
     * @param tokensAbove all tokens are above it: what an earlier group may have given whose log is
     *     lost
     */
    public LeaseService(Duration ttl, Duration heartbeat, long tokensAbove) {
        this.ttl = ttl;
        machine = new LeaseMachine(tokensAbove);
        watch = new LeaseExpiryMonitor(machine, heartbeat.toNanos());
    }

    /** Before the member starts. */
    public void add(LeasedTask task) {
        added.add(task);
    }

    /**
     * For a machine beside this one in the same log, which asks whether a token is the holder's.
     */
    @Override
    public LeaseMachine stateMachine() {
        return machine;
    }

    @Override
    public String name() {
        return "lease";
    }

    @Override
    public Optional<ExpiryMonitor> expiryMonitor() {
        return Optional.of(watch);
    }

    @Override
    public void onStart(MemberSession session, LongSupplier clock) {
        tasks = new LeasedTaskRunner(session, name(), clock, LeaseService::tell);
        added.forEach(task -> tasks.add(task, ttl.toNanos()));
    }

    private static void tell(LeasedTaskRunner.Event event) {
        if (event.failure() != null) {
            LOG.warn(
                    "{} lease={} token={}",
                    event.code(),
                    event.lease(),
                    event.token(),
                    event.failure());
        } else {
            LOG.info("{} lease={} token={}", event.code(), event.lease(), event.token());
        }
    }

    @Override
    public void onTick() {
        tasks.tick();
    }

    @Override
    public void onEvent(long index, CommandEffects.Event event) {
        tasks.news(event);
    }

    @Override
    public void onStopping() {
        tasks.stop();
        tasks.tick();
    }

    /**
     * This process's tasks, and all leases as the copy at hand has them; a member without a copy
     * has none of these.
     */
    @Override
    public String metricsJson() {
        if (tasks == null) {
            return "{}";
        }
        JsonObject own = Json.object();
        for (LeasedTaskRunner.Figures each : tasks.figures()) {
            own.add(
                    each.task().lease(),
                    Json.object()
                            .add("state", each.phase().name().toLowerCase(Locale.ROOT))
                            .add("token", each.token())
                            .add("left_ms", each.leftNanos() / MILLI)
                            .add("held", each.held())
                            .add("lost", each.lost())
                            .add("failed", each.failed())
                            .add("task", Json.parse(each.task().figures())));
        }
        JsonObject all = Json.object();
        for (LeaseMachine.View each : machine.held()) {
            all.add(
                    each.name(),
                    Json.object()
                            .add("session", each.session())
                            .add("token", each.token())
                            .add("renewals", each.renewals())
                            .add("waiting", each.waiting())
                            .add("session_over", each.ended()));
        }
        return Json.object()
                .add("tasks", own)
                .add("leases", all)
                .add("last_token", machine.lastToken())
                .toString();
    }
}
