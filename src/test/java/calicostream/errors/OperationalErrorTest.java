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
 * Every error belongs to a sealed root that names its documentation, is final, has a code of its
 * own, and has a row for that code in the documentation.
 */
class OperationalErrorTest {
    /** The common base types, which are open so that each package can declare its root. */
    private static final Set<Class<?>> BASES =
            Set.of(OperationalError.class, OperationalException.class);

    /** All roots; fails if a concrete error is not a final type of a sealed root. */
    private static Set<Class<?>> roots() throws ClassNotFoundException {
        Set<Class<?>> roots = new HashSet<>();
        for (JavaClass imported : new ClassFileImporter().importPath(Path.of("target/classes"))) {
            if (!imported.isAssignableTo(OperationalError.class.getName())) {
                continue;
            }
            Class<?> type = Class.forName(imported.getName());
            if (BASES.contains(type)) {
                continue;
            }
            if (Modifier.isAbstract(type.getModifiers())) {
                roots.add(type);
            } else {
                assertTrue(
                        Modifier.isFinal(type.getModifiers()) && hasSealedParent(type),
                        type + " is not of a sealed root");
            }
        }
        return roots;
    }

    private static boolean hasSealedParent(Class<?> type) {
        return type.getSuperclass().isSealed()
                || Arrays.stream(type.getInterfaces()).anyMatch(Class::isSealed);
    }

    private static Set<String> documentedCodes(OperatorDocumentation documentation)
            throws Exception {
        String row =
                "(?m)^\\| `((?:" + String.join("|", documentation.prefixes()) + ")[a-z-]+)` \\|";
        String page = Files.readString(Path.of("docs/operate", documentation.value()));
        return Pattern.compile(row)
                .matcher(page)
                .results()
                .map(match -> match.group(1))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    @Test
    void eachErrorHasAUniqueDocumentedCode() throws Exception {
        Map<String, Class<?>> typesByCode = new HashMap<>();
        Set<String> packages = new TreeSet<>();
        for (Class<?> root : roots()) {
            assertTrue(root.isSealed(), root + " is not sealed");
            OperatorDocumentation documentation = root.getAnnotation(OperatorDocumentation.class);
            assertNotNull(documentation, root + " names no page");
            packages.add(root.getPackageName());
            Set<String> codes = new TreeSet<>();
            for (Class<?> type : root.getPermittedSubclasses()) {
                String code = (String) type.getField("CODE").get(null);
                assertEquals(null, typesByCode.put(code, type), code + " is used twice");
                assertTrue(
                        Arrays.stream(documentation.prefixes()).anyMatch(code::startsWith), code);
                codes.add(code);
            }
            assertEquals(codes, documentedCodes(documentation), documentation.value());
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
