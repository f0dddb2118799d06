// SPDX-License-Identifier: Apache-2.0
package calicostream.measure;

import calicostream.mass.FleetRuns;
import calicostream.wire.FakeDiscoveryServer;
import calicostream.wire.FakeRespEngine;
import calicostream.wire.ServerProgram;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Many front ends that can't talk, in virtual time, and what a new one takes until its first good
 * answer, in real time with the flags of {@code run}. The last line holds the figures.
 */
public final class MassMeasure {
    private static final int STARTS = 5;

    private MassMeasure() {}

    public static void main(String[] args) throws Exception {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        System.out.println("seed " + seed);
        List<String> figures = new ArrayList<>(FleetRuns.figures(seed));
        long[] taken = new long[STARTS];
        for (int i = 0; i < STARTS; i++) {
            taken[i] = firstAnswerMs();
        }
        Arrays.sort(taken);
        System.out.println("first answers after " + Arrays.toString(taken) + " ms");
        int violations =
                (int) figures.stream().takeWhile(each -> !each.startsWith("violations=")).count();
        figures.add(violations, "first_answer_ms=" + taken[STARTS / 2]);
        System.out.println("mass " + String.join(" ", figures));
    }

    private static long firstAnswerMs() throws Exception {
        Path folder = Files.createTempDirectory("mass-measure");
        try (FakeDiscoveryServer log = new FakeDiscoveryServer();
                FakeRespEngine engine = new FakeRespEngine()) {
            Path config =
                    ServerProgram.configure(
                            folder,
                            0,
                            log.port(),
                            List.of(ServerProgram.endpoint("e1", engine.address(), "Ready", 0)),
                            1024);
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", ServerProgram.run())
                            .redirectErrorStream(true);
            builder.environment().put("NODE_CONFIG", config.toString());
            builder.environment().put("TMPDIR", folder.toString());
            long from = System.nanoTime();
            Process process = builder.start();
            try (BufferedReader lines = process.inputReader(StandardCharsets.UTF_8)) {
                log.follow();
                String line = lines.readLine();
                while (line != null && !line.contains("listening on port")) {
                    line = lines.readLine();
                }
                if (line == null) {
                    throw new IOException("the program ended");
                }
                ServerProgram.ask(ServerProgram.portIn(line), engine, 1);
                return (System.nanoTime() - from) / 1_000_000;
            } finally {
                process.destroyForcibly().waitFor();
            }
        }
    }
}
