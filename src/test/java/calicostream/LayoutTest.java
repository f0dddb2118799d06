// SPDX-License-Identifier: Apache-2.0
package calicostream;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.ArchConfiguration;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.lang.ArchRule;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/**
 * Which package may know which: arrows go from the composition to the shells, from these to
 * decisions and records.
 */
class LayoutTest {
    private static final JavaClasses CLASSES = classes();
    private static final String[] OPTIONAL = {
        "calicostream.flight..",
        "calicostream.grpc..",
        "calicostream.syslog..",
        "calicostream.cluster..",
        "calicostream.durable..",
        "calicostream.lease..",
        "calicostream.budget..",
        "calicostream.booking..",
        "calicostream.errors.."
    };
    private static final String[] SHELLS = {
        "calicostream.platform..",
        "calicostream.admin..",
        "calicostream.hotrestart..",
        "calicostream.flight..",
        "calicostream.grpc..",
        "calicostream.syslog..",
        "calicostream.adapter..",
        "calicostream.daemon.."
    };
    private static final String[] LIBRARIES = {
        "io.microraft..", "org.tomlj..", "org.HdrHistogram..", "org.antlr.."
    };

    /** Names are enough: libraries' own classes are not read. */
    private static JavaClasses classes() {
        ArchConfiguration.get().setResolveMissingDependenciesFromClassPath(false);
        return new ClassFileImporter().importPath(Path.of("target/classes"));
    }

    private static ArchRule not(String who, String... whom) {
        return noClasses()
                .that()
                .resideInAPackage(who)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(whom);
    }

    @Test
    void platformKnowsNoOptionalPart() {
        for (String each :
                new String[] {
                    "calicostream.platform..", "calicostream.admin..", "calicostream.hotrestart.."
                }) {
            not(each, OPTIONAL).check(CLASSES);
        }
    }

    @Test
    void optionalPartsKnowNeitherThePlatformNorWhoComposesThem() {
        for (String each : OPTIONAL) {
            not(each, "calicostream.platform..", "calicostream.daemon..", "calicostream.admin..")
                    .allowEmptyShould(true)
                    .check(CLASSES);
        }
        noClasses()
                .that()
                .resideOutsideOfPackage("calicostream.daemon..")
                .and()
                .doNotHaveFullyQualifiedName("calicostream.Main")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("calicostream.daemon..")
                .check(CLASSES);
    }

    @Test
    void errorsKnowNobody() {
        not(
                        "calicostream.errors..",
                        "calicostream",
                        "calicostream.routing..",
                        "calicostream.cluster..",
                        "calicostream.durable..",
                        "calicostream.lease..",
                        "calicostream.budget..",
                        "calicostream.booking..")
                .check(CLASSES);
    }

    /**
     * A wall clock that steps reaches nothing that the fleet agrees on, as nobody there reads one.
     */
    @Test
    void whatTheFleetAgreesOnReadsNoWallClock() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "calicostream.cluster..",
                        "calicostream.durable..",
                        "calicostream.lease..",
                        "calicostream.budget..")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .orShould()
                .callMethod(java.time.Clock.class, "systemUTC")
                .check(CLASSES);
    }

    @Test
    void coreAndWhatAllWiresShareKnowNoShell() {
        for (String each :
                new String[] {
                    "calicostream.core..",
                    "calicostream.net..",
                    "calicostream.sql..",
                    "calicostream.config..",
                    "calicostream.discovery.."
                }) {
            not(each, SHELLS).check(CLASSES);
        }
    }

    @Test
    void librariesOfTheClusterAreForTheClusterAlone() {
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        "calicostream.cluster..",
                        "calicostream.durable..",
                        "calicostream.lease..",
                        "calicostream.budget..",
                        "calicostream.booking..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(LIBRARIES)
                .check(CLASSES);
    }

    /** A rule that is broken on purpose shows that the rules above see arrows at all. */
    @Test
    void theRulesSeeAnArrow() {
        assertThrows(
                AssertionError.class,
                () -> not("calicostream.daemon..", "calicostream.flight..").check(CLASSES));
    }
}
