// SPDX-License-Identifier: Apache-2.0
package calicostream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The engineers' pages name classes, methods and log lines that exist, and leave no log line out.
 */
class DocumentationTest {
    private static final List<String> PAGES =
            List.of(
                    "ARCHITECTURE.md",
                    "CONTRIBUTING.md",
                    "docs/glossary.md",
                    "docs/on-call.md",
                    "docs/design/request-lifecycle.md",
                    "docs/design/race-conditions.md");
    private static final Path ON_CALL = Path.of("docs/on-call.md");
    private static final Pattern CODE_NAME =
            Pattern.compile("`([A-Z][a-z]+[A-Za-z]*)(?:\\.([a-z]\\w*))?`");
    private static final Pattern LOG_CALL =
            Pattern.compile("LOG\\s*\\.(?:info|warn|error)\\(\\s*((?:\"[^\"\\n]*\"\\s*\\+?\\s*)+)");
    private static final Pattern LITERAL = Pattern.compile("\"([^\"\\n]*)\"");

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Every source file by the name of its type. */
    private static Map<String, String> sources(String... roots) throws IOException {
        Map<String, String> sources = new TreeMap<>();
        for (String root : roots) {
            try (Stream<Path> files = Files.walk(Path.of(root))) {
                files.filter(file -> file.toString().endsWith(".java"))
                        .forEach(
                                file ->
                                        sources.merge(
                                                file.getFileName().toString().replace(".java", ""),
                                                read(file),
                                                String::concat));
            }
        }
        return sources;
    }

    @Test
    void pagesNameClassesAndMethodsThatExist() throws IOException {
        Map<String, String> sources = sources("src/main/java", "src/test/java", "src/measure/java");
        List<String> missing = new ArrayList<>();
        for (String page : PAGES) {
            Matcher name = CODE_NAME.matcher(read(Path.of(page)));
            while (name.find()) {
                String source = sources.get(name.group(1));
                String method = name.group(2);
                boolean exists =
                        source != null
                                && (method == null
                                        || Pattern.compile("\\b" + method + "\\b")
                                                .matcher(source)
                                                .find());
                if (!exists) {
                    missing.add(page + ": " + name.group());
                }
            }
        }
        assertEquals(List.of(), missing);
    }

    @Test
    void onCallPageHasEveryLogLine() throws IOException {
        String page = read(ON_CALL);
        TreeSet<String> missing = new TreeSet<>();
        int found = 0;
        for (String source : sources("src/main/java").values()) {
            Matcher call = LOG_CALL.matcher(source);
            while (call.find()) {
                StringBuilder message = new StringBuilder();
                Matcher literal = LITERAL.matcher(call.group(1));
                while (literal.find()) {
                    message.append(literal.group(1));
                }
                found++;
                if (!page.contains("`" + message + "`")) {
                    missing.add(message.toString());
                }
            }
        }
        assertTrue(found > 20, found + " log calls");
        assertEquals(new TreeSet<String>(), missing);
    }
}
