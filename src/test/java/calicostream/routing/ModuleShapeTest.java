// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaModifier;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks the structure of the routing package: no I/O, clock or threads, limited file and method
 * sizes, and components that are not used outside the package.
 */
class ModuleShapeTest {
    private static final Path SOURCES = Path.of("src/main/java/calicostream/routing");
    private static final int MAX_FILE_LINES = 400;
    private static final int MAX_METHOD_LINES = 50;
    private static final int MAX_LINE_LENGTH = 110;
    private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
    private static final JavaClasses ALL_CLASSES =
            new ClassFileImporter().importPath(Path.of("target/classes/calicostream"));
    private static final JavaClasses CLASSES =
            new ClassFileImporter().importPath(Path.of("target/classes/calicostream/routing"));

    private static final DescribedPredicate<JavaClass> ROUTER_COMPONENT =
            DescribedPredicate.describe(
                    "an internal component of the router",
                    type ->
                            type.getPackageName().equals(AffinityRouter.class.getPackageName())
                                    && isRouterComponent(type));

    private static List<Path> sources() throws IOException {
        try (Stream<Path> files = Files.list(SOURCES)) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }

    private static ArchRule noInputOutputClockOrThread() {
        return noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio..",
                        "java.time..",
                        "java.util.concurrent..",
                        "org.slf4j..")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Thread")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random");
    }

    @Test
    void sourceFilesStayWithinSizeLimits() throws IOException {
        List<String> tooLong = new ArrayList<>();
        for (Path file : sources()) {
            List<String> lines = Files.readAllLines(file);
            if (lines.size() > MAX_FILE_LINES) {
                tooLong.add(file.getFileName() + ": " + lines.size() + " lines");
            }
            lines.forEach(line -> assertTrue(line.length() <= MAX_LINE_LENGTH, line));
        }
        assertEquals(List.of(), tooLong);
    }

    /**
     * Finds members by the formatter's indentation of four spaces, and returns those over the line
     * limit.
     */
    private static List<String> longMembers(Path file) throws IOException {
        List<String> tooLong = new ArrayList<>();
        List<String> lines = Files.readAllLines(file);
        int start = -1;
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            boolean isMemberLine = line.matches(" {4}[^ ].*");
            if (isMemberLine && !line.matches(" {4}(}|@|/|\\*).*")) {
                start = i;
            }
            boolean isEnd = line.equals("    }");
            if (isEnd && i - start + 1 > MAX_METHOD_LINES) {
                tooLong.add(file.getFileName() + ": " + lines.get(start).trim());
            }
        }
        return tooLong;
    }

    @Test
    void methodsStayWithinLineLimit() throws IOException {
        List<String> tooLong = new ArrayList<>();
        for (Path file : sources()) {
            tooLong.addAll(longMembers(file));
        }
        assertEquals(List.of(), tooLong);
    }

    /** Verifies that the line limit detects a method that is one line too long. */
    @Test
    void lineLimitDetectsLongMethod(@TempDir Path folder) throws IOException {
        String body = "        count++;\n".repeat(MAX_METHOD_LINES - 2);
        Path allowed = folder.resolve("Allowed.java");
        Files.writeString(allowed, "class Allowed {\n    void count() {\n" + body + "    }\n}\n");
        assertEquals(List.of(), longMembers(allowed));
        Path tooLong = folder.resolve("TooLong.java");
        String oneLineMore = body + "        count++;\n";
        Files.writeString(
                tooLong, "class TooLong {\n    void count() {\n" + oneLineMore + "    }\n}\n");
        assertEquals(List.of("TooLong.java: void count() {"), longMembers(tooLong));
    }

    /**
     * Components are classes with behaviour or state; the other types form the router's public
     * interface.
     */
    private static boolean isRouterComponent(JavaClass type) {
        boolean isPublicInterface =
                type.isInterface()
                        || type.isRecord() && type.getModifiers().contains(JavaModifier.PUBLIC)
                        || type.isEnum() && type.getModifiers().contains(JavaModifier.PUBLIC);
        return !isPublicInterface
                && !type.isEquivalentTo(AffinityRouter.class)
                && !type.isEquivalentTo(SettingsParser.class);
    }

    private static ArchRule componentsAreUsedOnlyInThisPackage() {
        return noClasses()
                .that()
                .resideOutsideOfPackage("calicostream.routing..")
                .should()
                .dependOnClassesThat(ROUTER_COMPONENT);
    }

    @Test
    void componentsAreInternalToThePackage() {
        componentsAreUsedOnlyInThisPackage().check(ALL_CLASSES);
        List<String> publicComponents = new ArrayList<>();
        for (JavaClass type : CLASSES) {
            if (ROUTER_COMPONENT.test(type) && type.getModifiers().contains(JavaModifier.PUBLIC)) {
                publicComponents.add(type.getSimpleName());
            }
        }
        assertEquals(List.of(), publicComponents);
        assertTrue(ROUTER_COMPONENT.test(CLASSES.get(RetryBudget.class)));
    }

    /** Returns the files of a {@code KEY = ["FILE", ...]} line of the deploy file. */
    private static Set<String> filesOf(String key) throws IOException {
        Set<String> files = new TreeSet<>();
        for (String line : Files.readAllLines(DEPLOY_FILE)) {
            if (line.startsWith(key + " = ")) {
                Matcher names = Pattern.compile("\"([^\"]+)\"").matcher(line);
                while (names.find()) {
                    files.add(names.group(1));
                }
            }
        }
        return files;
    }

    @Test
    void deployFileListsAllComponentSources() throws IOException {
        Set<String> expected = new TreeSet<>();
        expected.add(SOURCES + "/AffinityRouter.java");
        for (JavaClass type : CLASSES) {
            if (type.isTopLevelClass() && ROUTER_COMPONENT.test(type)) {
                expected.add(SOURCES + "/" + type.getSimpleName() + ".java");
            }
        }
        assertEquals(expected, filesOf("policy"));
        assertTrue(filesOf("node").contains(SOURCES + "/SettingsParser.java"));
    }

    @Test
    void packageUsesNoInputOutputClockOrThread() {
        noInputOutputClockOrThread().check(CLASSES);
    }

    /** Verifies that the rule detects a violation, with this test class, which reads files. */
    @Test
    void dependencyRuleDetectsViolation() {
        JavaClasses violatingClasses = new ClassFileImporter().importClasses(ModuleShapeTest.class);
        assertThrows(
                AssertionError.class, () -> noInputOutputClockOrThread().check(violatingClasses));
    }
}
