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
 * CountingService} and without a front end. One thread uses it; {@link #close} stops all of them,
 * whatever they do.
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

    /** Where its log is, and its marks beside it. */
    Path data(int number) {
        return folder.resolve("m" + number).resolve("data").resolve("generation-0");
    }

    /** Starts a member, or starts it again, on its folder. */
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

    /** Returns when each of the three votes. */
    void startAll() throws IOException {
        for (int number = 1; number <= 3; number++) {
            start(number);
        }
        for (int number = 1; number <= 3; number++) {
            await(number, InProcessMembers::isSettledVoter);
        }
    }

    /** A planned stop, and its end. */
    void stop(int number) throws InterruptedException {
        members.get(number).stop();
        members.get(number).awaitTermination();
    }

    JsonObject status(int number) {
        return Json.parse(members.get(number).statusJson()).asObject();
    }

    /** What the member says once the condition holds. */
    JsonObject await(int number, Predicate<JsonObject> condition) {
        for (long end = System.nanoTime() + MemberProcess.PATIENCE_S * 1_000_000_000L;
                System.nanoTime() < end; ) {
            JsonObject signs = status(number);
            if (condition.test(signs)) {
                return signs;
            }
            LockSupport.parkNanos(5_000_000);
        }
        throw new AssertionError("not in time: " + status(number));
    }

    static boolean isSettledVoter(JsonObject signs) {
        return signs.get("state").asString().equals("voter")
                && signs.get("session_alive").asBoolean()
                && signs.get("no_quorum_ms").asLong() == 0
                && signs.get("leader").asInt() != 0;
    }

    /** One of its count's figures. */
    static long metric(JsonObject signs, String name) {
        return signs.get("layers").asObject().get("count").asObject().get(name).asLong();
    }

    @Override
    public void close() throws InterruptedException {
        members.values().forEach(Member::stop);
        for (Member each : members.values()) {
            each.awaitTermination();
        }
    }
}
