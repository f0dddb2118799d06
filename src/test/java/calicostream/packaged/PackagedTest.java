// SPDX-License-Identifier: Apache-2.0
package calicostream.packaged;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.wire.FakeDiscoveryServer;
import calicostream.wire.FakeRespEngine;
import calicostream.wire.ServerProgram;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.jar.JarFile;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The jar as it is installed: its class path, and what {@code run} loads of it while all that can
 * be off is off.
 */
class PackagedTest {
    private static final Path JAR = Path.of("target/calicostream.jar");
    private static final Pattern LOADED = Pattern.compile("\\] ([\\w.$/-]+) source:");

    /** Parts that are off, and the libraries that only they use. */
    private static final List<String> OFF =
            List.of(
                    "calicostream.flight.",
                    "calicostream.grpc.",
                    "calicostream.syslog.",
                    "calicostream.cluster.",
                    "calicostream.durable.",
                    "calicostream.lease.",
                    "calicostream.budget.",
                    "calicostream.booking.",
                    "calicostream.daemon.FlightComponent",
                    "calicostream.daemon.ClusterComponent",
                    "calicostream.daemon.EjectionHintBridge",
                    "io.grpc.",
                    "io.netty.",
                    "com.google.",
                    "org.apache.arrow.",
                    "com.fasterxml.",
                    "io.microraft.",
                    "org.tomlj.",
                    "org.antlr.",
                    "org.HdrHistogram.");

    @TempDir Path folder;

    private static Set<String> names(Path of) throws IOException {
        try (Stream<Path> all = Files.list(of)) {
            return all.map(f -> f.getFileName().toString())
                    .collect(Collectors.toCollection(TreeSet::new));
        }
    }

    @Test
    void manifestNamesWhatIsInLibAndNothingOfTheCluster() throws IOException {
        Set<String> cluster = names(Path.of("target/lib-cluster"));
        for (String library : List.of("microraft-", "tomlj-", "HdrHistogram-")) {
            assertTrue(
                    cluster.stream().anyMatch(n -> n.startsWith(library)),
                    library + " is not in " + cluster);
        }
        try (JarFile jar = new JarFile(JAR.toFile())) {
            String listed = jar.getManifest().getMainAttributes().getValue("Class-Path");
            Set<String> path = new TreeSet<>(Arrays.asList(listed.split(" ")));
            Set<String> lib =
                    names(Path.of("target/lib")).stream()
                            .map(n -> "lib/" + n)
                            .collect(Collectors.toSet());
            assertEquals(new TreeSet<>(lib), path);
            assertFalse(
                    path.stream().anyMatch(p -> cluster.contains(p.substring(p.indexOf('/') + 1))),
                    listed);
        }
    }

    @Test
    void runLoadsNothingOfWhatIsOff() throws Exception {
        Set<String> loaded = loaded("deploy");
        assertTrue(
                loaded.contains("calicostream.platform.RespEngineClient")
                        && loaded.contains("calicostream.routing.AffinityRouter"),
                "the log");
        assertEquals(
                List.of(),
                loaded.stream().filter(c -> OFF.stream().anyMatch(c::startsWith)).toList());
    }

    /** The same look sees a part that is on. */
    @Test
    void whatIsOnIsLoaded() throws Exception {
        Files.writeString(
                folder.resolve("syslog.json"),
                "{\"enabled\": true, \"collector\": \"127.0.0.1:9\"}");
        Files.writeString(
                folder.resolve("flight.json"),
                "{\"enabled\": true, \"listen\": \"127.0.0.1:0\", \"engines\": \"platform\"}");
        Set<String> loaded = loaded(folder.toString());
        for (String part :
                List.of(
                        "calicostream.syslog.",
                        "calicostream.flight.",
                        "calicostream.daemon.FlightComponent",
                        "io.grpc.",
                        "io.netty.")) {
            assertTrue(loaded.stream().anyMatch(c -> c.startsWith(part)), "nothing of " + part);
        }
    }

    /** With the class path of {@code run}, and with the one that README.md has for the cluster. */
    @Test
    void clusterThatCannotBeStartedEndsTheProgramWithOneLine() throws Exception {
        Path settings =
                Files.writeString(
                        folder.resolve("cluster.toml"),
                        Files.readString(Path.of("deploy/cluster.toml"))
                                .replace("enabled = false", "enabled = true")
                                .replace("drift = \"500ppm\"", "drift = \"500\""));
        assertEquals(
                List.of(
                        "calicostream: bad configuration: NODE_CLUSTER names "
                                + settings
                                + ", but the class path has not the libraries of"
                                + " target/lib-cluster; README.md has the command"
                                + " [cluster-libraries-missing]"),
                refused(ServerProgram.run(), settings));
        String command =
                Files.readAllLines(Path.of("README.md")).stream()
                        .filter(l -> l.contains("target/lib-cluster/*"))
                        .findFirst()
                        .orElseThrow()
                        .trim();
        assertEquals(
                List.of(
                        "calicostream: bad configuration: "
                                + settings
                                + ":43: clock.drift: '500', a whole number with one of the units"
                                + " ppm is needed, in quotes [cluster-config-wrong-unit]"),
                refused("exec " + command, settings));
    }

    private List<String> refused(String command, Path cluster) throws Exception {
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", command).redirectErrorStream(true);
        builder.environment()
                .put(
                        "NODE_CONFIG",
                        ServerProgram.configure(folder, 0, 1, List.of(), 1024).toString());
        builder.environment().put("NODE_CLUSTER", cluster.toString());
        Process process = builder.start();
        try {
            List<String> said = process.inputReader(StandardCharsets.UTF_8).lines().toList();
            assertEquals(2, process.waitFor());
            return said;
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    /**
     * The classes that {@code run}'s own command has loaded by the time it has answered a request
     * and ended.
     */
    private Set<String> loaded(String deploy) throws Exception {
        Path log = folder.resolve("loaded");
        String command =
                ServerProgram.run()
                        .replace(
                                "exec java ",
                                "exec "
                                        + Path.of(System.getProperty("java.home"), "bin", "java")
                                        + " -Xlog:class+load:file="
                                        + log
                                        + ":uptime -Dcalicostream.deploy="
                                        + deploy
                                        + " ");
        try (FakeDiscoveryServer changes = new FakeDiscoveryServer();
                FakeRespEngine engine = new FakeRespEngine()) {
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", command).redirectErrorStream(true);
            builder.environment()
                    .put(
                            "NODE_CONFIG",
                            ServerProgram.configure(
                                            folder,
                                            0,
                                            changes.port(),
                                            List.of(
                                                    ServerProgram.endpoint(
                                                            "e1", engine.address(), "Ready", 0)),
                                            1024)
                                    .toString());
            builder.environment().put("TMPDIR", folder.toString());
            Process process = builder.start();
            try (BufferedReader lines = process.inputReader(StandardCharsets.UTF_8)) {
                changes.follow();
                String line = lines.readLine();
                while (line != null && !line.contains("listening on port")) {
                    line = lines.readLine();
                }
                ServerProgram.ask(ServerProgram.portIn(line), engine, 1);
                process.toHandle()
                        .destroy(); // Unlike the process's own call it leaves the log open.
                while (lines.readLine() != null) {
                    continue; // Its log ends with the process.
                }
                assertEquals(143, process.waitFor());
            } finally {
                process.destroyForcibly().waitFor();
            }
        }
        return Files.readAllLines(log).stream()
                .map(LOADED::matcher)
                .filter(Matcher::find)
                .map(m -> m.group(1))
                .collect(Collectors.toSet());
    }
}
