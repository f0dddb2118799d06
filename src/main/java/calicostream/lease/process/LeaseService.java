// SPDX-License-Identifier: Apache-2.0
package calicostream.lease.process;

import calicostream.cluster.CommandEffects;
import calicostream.cluster.ExpiryMonitor;
import calicostream.cluster.MemberSession;
import calicostream.cluster.process.ReplicatedService;
import calicostream.lease.LeaseExpiryMonitor;
import calicostream.lease.LeaseHolder;
import calicostream.lease.LeaseStateMachine;
import calicostream.lease.LeasedTask;
import calicostream.lease.LeasedTaskRunner;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Integrates the lease state machine, and the tasks that this process runs under leases, into a
 * member process as a replicated service. Confined to the member's thread, except for {@link #add}.
 */
public final class LeaseService implements ReplicatedService {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseService.class);
    private static final String MACHINE_NAME = "lease";
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private final LeaseStateMachine machine;
    private final LeaseExpiryMonitor expiryMonitor;
    private final List<LeasedTask> tasks = new ArrayList<>();
    private final Duration ttl;
    private LeasedTaskRunner runner; // null until the process has a session

    /**
     * @param ttl time to live of all leases
     * @param heartbeat interval at which the leader checks the leases for expiry
     * @param tokenFloor greatest token that a former cluster, whose log is lost, may have granted;
     *     all tokens are greater
     */
    public LeaseService(Duration ttl, Duration heartbeat, long tokenFloor) {
        this.ttl = ttl;
        machine = new LeaseStateMachine(tokenFloor);
        expiryMonitor = new LeaseExpiryMonitor(machine, heartbeat.toNanos());
    }

    /** Adds a task. Must be called before the member starts. */
    public void add(LeasedTask task) {
        tasks.add(task);
    }

    /** The lease state machine, which other state machines of the same log use to check tokens. */
    @Override
    public LeaseStateMachine stateMachine() {
        return machine;
    }

    @Override
    public String name() {
        return MACHINE_NAME;
    }

    @Override
    public Optional<ExpiryMonitor> expiryMonitor() {
        return Optional.of(expiryMonitor);
    }

    @Override
    public void onStart(MemberSession session, LongSupplier clock) {
        runner = new LeasedTaskRunner(session, name(), clock, LeaseService::log);
        tasks.forEach(task -> runner.add(task, ttl.toNanos()));
    }

    private static void log(LeasedTaskRunner.TaskEvent event) {
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
        runner.tick();
    }

    @Override
    public void onEvent(long index, CommandEffects.Event event) {
        runner.onEvent(event);
    }

    @Override
    public void onStopping() {
        runner.stop();
        runner.tick();
    }

    /**
     * The metrics as JSON: the tasks of this process, and all leases in the state of the local
     * replica. A member without a replica reports no leases.
     */
    @Override
    public String metricsJson() {
        if (runner == null) {
            return "{}";
        }
        return Json.object()
                .add("tasks", tasksJson())
                .add("leases", leasesJson())
                .add("last_token", machine.lastToken())
                .toString();
    }

    private JsonObject tasksJson() {
        JsonObject json = Json.object();
        for (LeasedTaskRunner.TaskStatus status : runner.statuses()) {
            json.add(
                    status.task().lease(),
                    Json.object()
                            .add("state", stateName(status.phase()))
                            .add("token", status.token())
                            .add("left_ms", status.remainingNanos() / NANOS_PER_MILLI)
                            .add("held", status.heldCount())
                            .add("lost", status.lostCount())
                            .add("failed", status.failureCount())
                            .add("task", Json.parse(status.task().statusJson())));
        }
        return json;
    }

    /** The phase's name in JSON. Operators' tools read these names, so they must not change. */
    private static String stateName(LeaseHolder.Phase phase) {
        return switch (phase) {
            case IDLE -> "idle";
            case ACQUIRING -> "asking";
            case WAITING -> "waiting";
            case CONFIRMING -> "confirming";
            case HELD -> "held";
            case RELEASING -> "ending";
        };
    }

    private JsonObject leasesJson() {
        JsonObject json = Json.object();
        for (LeaseStateMachine.HeldLease lease : machine.heldLeases()) {
            json.add(
                    lease.name(),
                    Json.object()
                            .add("session", lease.session())
                            .add("token", lease.token())
                            .add("renewals", lease.renewals())
                            .add("waiting", lease.waiterCount())
                            .add("session_over", lease.sessionEnded()));
        }
        return json;
    }
}
