package org.catkinproxy.architecture;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;

import net.jqwik.api.Example;

import java.time.Instant;
import java.util.UUID;
import java.util.concurrent.Executor;

/** Holds the arrows between packages that the package pages state. */
class PackageArrowsTest {
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("org.catkinproxy");

    /** The packages of the core: values and decisions. */
    private static final String[] CORE = {
        "org.catkinproxy.admin",
        "org.catkinproxy.burn",
        "org.catkinproxy.cache",
        "org.catkinproxy.call",
        "org.catkinproxy.config",
        "org.catkinproxy.error",
        "org.catkinproxy.id",
        "org.catkinproxy.member",
        "org.catkinproxy.order",
        "org.catkinproxy.revision",
        "org.catkinproxy.route",
        "org.catkinproxy.serving",
        "org.catkinproxy.stop",
        "org.catkinproxy.stream",
        "org.catkinproxy.syntax"
    };

    /** What does I/O, starts threads or logs. */
    private static final String[] IMPURE = {
        "java.net.http..",
        "java.nio.channels..",
        "java.nio.file..",
        "okhttp3..",
        "io.jooby..",
        "io.netty..",
        "io.reactivex..",
        "io.micrometer..",
        "org.apache.thrift..",
        "org.apache.logging.."
    };

    @Example
    void coreDoesNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAnyPackage(CORE)
                .should()
                .dependOnClassesThat(resideInAnyPackage(IMPURE))
                .check(CLASSES);
    }

    @Example
    void coreReadsNoClockAndStartsNoThread() {
        noClasses()
                .that()
                .resideInAnyPackage(CORE)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .callMethod(Instant.class, "now")
                .orShould()
                .callMethod(UUID.class, "randomUUID")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Executor.class)
                .check(CLASSES);
    }

    @Example
    void coreKnowsNothingOfTheDaemon() {
        noClasses()
                .that()
                .resideInAnyPackage(CORE)
                .should()
                .dependOnClassesThat(
                        resideInAPackage("org.catkinproxy..").and(not(resideInAnyPackage(CORE))))
                .check(CLASSES);
    }

    @Example
    void onlyThePeerPackageTouchesItsWireFormat() {
        noClasses()
                .that()
                .resideOutsideOfPackages("org.catkinproxy.peer", "org.catkinproxy.peer.gen")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.catkinproxy.peer.gen", "org.apache.thrift..")
                .check(CLASSES);
    }

    @Example
    void interfacesForCallersAndOperatorsReachNoOtherProcess() {
        noClasses()
                .that()
                .resideInAnyPackage("org.catkinproxy.caller", "org.catkinproxy.operator")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.catkinproxy.peer..", "org.catkinproxy.platform", "okhttp3..")
                .check(CLASSES);
    }

    @Example
    void onlyTheDaemonPackageTiesEverythingTogether() {
        noClasses()
                .that()
                .resideOutsideOfPackage("org.catkinproxy.daemon")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.catkinproxy.daemon")
                .check(CLASSES);
    }

    @Example
    void productKnowsNothingOfStandins() {
        noClasses()
                .that()
                .resideInAPackage("org.catkinproxy..")
                .and()
                .resideOutsideOfPackage("org.catkinproxy.standin..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.catkinproxy.standin..")
                .check(CLASSES);
    }

    @Example
    void observabilityKnowsNoTasks() {
        noClasses()
                .that()
                .resideInAPackage("org.catkinproxy.observe")
                .should()
                .dependOnClassesThat(
                        resideInAPackage("org.catkinproxy..")
                                .and(
                                        not(
                                                resideInAnyPackage(
                                                        "org.catkinproxy.observe",
                                                        "org.catkinproxy.burn",
                                                        "org.catkinproxy.config",
                                                        "org.catkinproxy.error",
                                                        "org.catkinproxy.id"))))
                .check(CLASSES);
    }
}
