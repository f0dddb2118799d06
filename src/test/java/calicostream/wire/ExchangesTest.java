// SPDX-License-Identifier: Apache-2.0
package calicostream.wire;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.io.TempDir;

/** Every recorded exchange, each against a program of its own. */
class ExchangesTest {
    @TempDir Path folder;

    @TestFactory
    Stream<DynamicTest> exchanges() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/test/resources/exchanges"))) {
            List<Path> sorted = files.sorted().toList();
            return sorted.stream()
                    .map(
                            file ->
                                    DynamicTest.dynamicTest(
                                            file.getFileName().toString(),
                                            () ->
                                                    Exchange.play(
                                                            file,
                                                            Files.createTempDirectory(
                                                                    folder, "run"))));
        }
    }
}
