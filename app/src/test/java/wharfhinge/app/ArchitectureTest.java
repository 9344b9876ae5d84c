package wharfhinge.app;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Dependencies point from upper to lower layers only, and the decision modules use neither I/O nor clocks nor threads. */
class ArchitectureTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("wharfhinge");

    private static final Set<String> WALL_CLOCK_READERS = Set.of(
            "java.lang.System.currentTimeMillis",
            "java.time.Instant.now",
            "java.time.Clock.systemUTC",
            "java.time.Clock.systemDefaultZone",
            "java.time.LocalDateTime.now",
            "java.time.ZonedDateTime.now");

    @Test
    void layers_dependOnLowerLayersOnly() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("app")
                .definedBy("wharfhinge.app..")
                .layer("stand-ins")
                .definedBy("wharfhinge.standin..")
                .layer("worker")
                .definedBy("wharfhinge.worker..")
                .layer("lab")
                .definedBy("wharfhinge.lab..")
                .layer("gateway")
                .definedBy("wharfhinge.gateway..")
                .layer("platform")
                .definedBy("wharfhinge.platform..")
                .layer("engine")
                .definedBy("wharfhinge.engine..")
                .layer("settings")
                .definedBy("wharfhinge.settings..")
                .layer("config")
                .definedBy("wharfhinge.config..")
                .layer("capture")
                .definedBy("wharfhinge.capture..")
                .layer("protocol")
                .definedBy("wharfhinge.protocol..")
                .layer("decisions")
                .definedBy("wharfhinge.decisions..")
                .layer("policy")
                .definedBy("wharfhinge.policy..")
                .layer("clients")
                .definedBy("wharfhinge.client..")
                .whereLayer("app")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("stand-ins")
                .mayOnlyBeAccessedByLayers("app")
                .whereLayer("worker")
                .mayOnlyBeAccessedByLayers("app")
                .whereLayer("lab")
                .mayOnlyBeAccessedByLayers("app")
                .whereLayer("platform")
                .mayOnlyBeAccessedByLayers("app")
                .whereLayer("settings")
                .mayOnlyBeAccessedByLayers("app", "platform", "capture")
                .whereLayer("gateway")
                .mayOnlyBeAccessedByLayers("app")
                .whereLayer("engine")
                .mayOnlyBeAccessedByLayers("app", "gateway", "platform")
                .whereLayer("config")
                .mayOnlyBeAccessedByLayers("app", "gateway")
                .whereLayer("capture")
                .mayOnlyBeAccessedByLayers("app", "gateway")
                .whereLayer("clients")
                .mayOnlyBeAccessedByLayers("app")
                .whereLayer("protocol")
                .mayOnlyBeAccessedByLayers("app", "gateway", "engine", "platform", "stand-ins", "worker", "clients")
                .whereLayer("decisions")
                .mayOnlyBeAccessedByLayers("app", "gateway", "engine", "platform", "config", "lab", "worker")
                .whereLayer("policy")
                .mayOnlyBeAccessedByLayers(
                        "app", "gateway", "engine", "platform", "settings", "config", "decisions", "capture", "lab")
                .check(ALL);
    }

    @Test
    void traceVerifier_sharesNoCodeWithWhatItVerifies() {
        noClasses()
                .that()
                .resideInAPackage("wharfhinge.standin.judge..")
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages("wharfhinge.standin.judge..", "java..")
                .check(ALL);
    }

    @Test
    void decisions_useNoClocksThreadsOrSockets() {
        noClasses()
                .that()
                .resideInAnyPackage("wharfhinge.policy..", "wharfhinge.decisions..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio..",
                        "java.time..",
                        "java.util.concurrent..",
                        "io.netty..",
                        "org.slf4j..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage("wharfhinge.policy..", "wharfhinge.decisions..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
        fields().that()
                .areDeclaredInClassesThat()
                .resideInAnyPackage("wharfhinge.policy..", "wharfhinge.decisions..")
                .and()
                .areStatic()
                .should()
                .beFinal()
                .check(ALL);
    }

    /** Deadlines, retry pauses and retry budgets of clients go by the monotonic clock, so that a step of the wall clock has no effect. */
    @Test
    void clients_doNotReadTheWallClock() {
        noClasses()
                .that()
                .resideInAPackage("wharfhinge.client..")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.time.Clock")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.util.Date")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("wharfhinge.client.core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio..",
                        "java.time..",
                        "java.util.concurrent..",
                        "io.netty..",
                        "io.grpc..",
                        "org.slf4j..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .check(ALL);
    }

    @Test
    void upstreamSide_doesNotDependOnClientSide() {
        classes()
                .that()
                .resideInAPackage("wharfhinge.gateway.upstream..")
                .should()
                .onlyDependOnClassesThat()
                .resideOutsideOfPackage("wharfhinge.gateway.front..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("wharfhinge.gateway.front..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("wharfhinge.gateway.upstream..", "wharfhinge.gateway.discovery..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("wharfhinge.engine..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "wharfhinge.gateway..", "wharfhinge.platform..", "wharfhinge.config..", "io.netty.channel..")
                .check(ALL);
    }

    /**
     * Durations are measured by the monotonic clock. Each listed class documents what bounds the effect of a wall-clock step: ages in
     * {@code SteadyWallClock}, the order of files in {@code CaptureWriter} and {@code ImageCache}, the expiry of tokens in {@code Gateway}.
     */
    @Test
    void wallClockIsReadInListedClassesAlone() {
        DescribedPredicate<JavaAccess<?>> readsWallClock = DescribedPredicate.describe(
                "reads the wall clock",
                access -> WALL_CLOCK_READERS.contains(access.getTargetOwner().getName()
                        + '.'
                        + access.getTarget().getName()));
        noClasses()
                .that()
                .doNotHaveFullyQualifiedName("wharfhinge.engine.SteadyWallClock")
                .and()
                .doNotHaveFullyQualifiedName("wharfhinge.capture.CaptureWriter")
                .and()
                .doNotHaveFullyQualifiedName("wharfhinge.worker.image.ImageCache")
                .and()
                .doNotHaveFullyQualifiedName("wharfhinge.gateway.Gateway")
                .and()
                .resideOutsideOfPackage("wharfhinge.app..")
                .should()
                .accessTargetWhere(readsWallClock)
                .check(ALL);
    }
}
