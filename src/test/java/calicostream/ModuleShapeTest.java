// SPDX-License-Identifier: Apache-2.0
package calicostream;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Night duty reads the module in one sitting. */
class ModuleShapeTest {
    private static final List<String> LINES =
            read(Path.of("src/main/java/calicostream/Logic.java"));

    private static List<String> read(Path path) {
        try {
            return Files.readAllLines(path);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Test
    void moduleKeepsItsLengthAndWidth() {
        long filled = LINES.stream().filter(l -> !l.isBlank()).count();
        assertTrue(filled > 100 && filled <= 950, filled + " lines");
        LINES.forEach(l -> assertTrue(l.length() <= 110, l));
    }

    @Test
    void headNamesTheInterface() {
        int head = LINES.indexOf("public final class Logic implements QueryRouter {");
        assertTrue(LINES.subList(0, head).stream().anyMatch(l -> l.contains("QueryRouter.java")));
    }
}
