// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.config.ClusterConfig;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;

/**
 * Three voters with threads, sockets and folders in this process, each with a {@link
 * CountingService} and without a front end. Used by one thread; {@link #close} stops all of them.
 */
final class InProcessMembers implements AutoCloseable {
    final Map<Integer, CountingService> services = new HashMap<>();
    private final Map<Integer, Member> members = new HashMap<>();
    private final Path folder;
    private final List<Integer> ports = MemberProcess.ports(3);

    InProcessMembers(Path folder) throws IOException {
        this.folder = folder;
        System.setProperty("org.slf4j.simpleLogger.log.io.microraft", "off");
        System.setProperty("org.slf4j.simpleLogger.log.calicostream.cluster.process", "error");
    }

    /** The folder of its log and its markers. */
    Path data(int number) {
        return folder.resolve("m" + number).resolve("data").resolve("generation-0");
    }

    /** Starts or restarts a member on its folder. */
    void start(int number) throws IOException {
        Path settings =
                Files.createDirectories(folder.resolve("m" + number)).resolve("cluster.toml");
        Files.writeString(settings, MemberProcess.settings(number, ports, ""));
        services.put(number, new CountingService());
        members.put(
                number,
                Member.start(
                        ClusterConfig.read(settings).orElseThrow(), List.of(services.get(number))));
    }

    /** Starts all three and waits until each votes. */
    void startAll() throws IOException {
        for (int number = 1; number <= 3; number++) {
            start(number);
        }
        for (int number = 1; number <= 3; number++) {
            await(number, InProcessMembers::isSettledVoter);
        }
    }

    /** Stops a member as planned and waits for the end. */
    void stop(int number) throws InterruptedException {
        members.get(number).stop();
        members.get(number).awaitTermination();
    }

    JsonObject status(int number) {
        return Json.parse(members.get(number).statusJson()).asObject();
    }

    /** The status of a member once the condition holds. */
    JsonObject await(int number, Predicate<JsonObject> condition) {
        for (long end = System.nanoTime() + MemberProcess.PATIENCE_S * 1_000_000_000L;
                System.nanoTime() < end; ) {
            JsonObject status = status(number);
            if (condition.test(status)) {
                return status;
            }
            LockSupport.parkNanos(5_000_000);
        }
        throw new AssertionError("timed out: " + status(number));
    }

    static boolean isSettledVoter(JsonObject status) {
        return status.get("state").asString().equals("voter")
                && status.get("session_alive").asBoolean()
                && status.get("no_quorum_ms").asLong() == 0
                && status.get("leader").asInt() != 0;
    }

    /** A metric of the member's counting service. */
    static long metric(JsonObject status, String name) {
        return status.get("layers").asObject().get("count").asObject().get(name).asLong();
    }

    @Override
    public void close() throws InterruptedException {
        members.values().forEach(Member::stop);
        for (Member each : members.values()) {
            each.awaitTermination();
        }
    }
}
