// SPDX-License-Identifier: Apache-2.0
package calicostream.errors;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import java.lang.reflect.Modifier;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * The family is closed: roots that are sealed with a page each, final types with a code each, and
 * each code's row on that page.
 */
class FamilyTest {
    private static Set<Class<?>> roots() throws ClassNotFoundException {
        Set<Class<?>> roots = new HashSet<>();
        for (JavaClass each : new ClassFileImporter().importPath(Path.of("target/classes"))) {
            if (!each.isInterface() && each.isAssignableTo(OperationalError.class.getName())) {
                Class<?> type = Class.forName(each.getName());
                if (Modifier.isAbstract(type.getModifiers())) {
                    roots.add(type);
                } else {
                    assertTrue(
                            Modifier.isFinal(type.getModifiers())
                                    && (type.getSuperclass().isSealed()
                                            || Arrays.stream(type.getInterfaces())
                                                    .anyMatch(Class::isSealed)),
                            type + " is not of a sealed root");
                }
            } else if (each.isInterface()
                    && each.isAssignableTo(OperationalError.class.getName())
                    && !each.isEquivalentTo(OperationalError.class)) {
                roots.add(Class.forName(each.getName()));
            }
        }
        return roots;
    }

    @Test
    void eachErrorHasACodeOfItsOwnAndEachCodeItsRow() throws Exception {
        Map<String, Class<?>> all = new HashMap<>();
        Set<String> packages = new TreeSet<>();
        for (Class<?> root : roots()) {
            assertTrue(root.isSealed(), root + " is not sealed");
            OperatorDocumentation page = root.getAnnotation(OperatorDocumentation.class);
            assertNotNull(page, root + " names no page");
            packages.add(root.getPackageName());
            Set<String> codes = new TreeSet<>();
            for (Class<?> type : root.getPermittedSubclasses()) {
                String code = (String) type.getField("CODE").get(null);
                assertEquals(null, all.put(code, type), code + " is used twice");
                assertTrue(Arrays.stream(page.prefixes()).anyMatch(code::startsWith), code);
                codes.add(code);
            }
            String row = "(?m)^\\| `((?:" + String.join("|", page.prefixes()) + ")[a-z-]+)` \\|";
            assertEquals(
                    codes,
                    Pattern.compile(row)
                            .matcher(Files.readString(Path.of("docs/operate", page.value())))
                            .results()
                            .map(match -> match.group(1))
                            .collect(Collectors.toCollection(TreeSet::new)),
                    page.value());
        }
        assertTrue(
                packages.containsAll(
                        Set.of(
                                "calicostream.cluster",
                                "calicostream.durable",
                                "calicostream.budget",
                                "calicostream.lease")),
                packages.toString());
    }
}
