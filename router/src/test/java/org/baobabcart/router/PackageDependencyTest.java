package org.baobabcart.router;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

class PackageDependencyTest {
    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.baobabcart");

    @Test
    void modelDependsOnNoOtherModule() {
        noClasses()
                .that()
                .resideInAPackage("org.baobabcart.model..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.baobabcart.policy..", "org.baobabcart.router..", "org.baobabcart.wire..")
                .check(classes);
    }

    @Test
    void policyUsesNoInputOutputOrConcurrency() {
        noClasses()
                .that()
                .resideInAPackage("org.baobabcart.policy..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.baobabcart.router..",
                        "org.baobabcart.wire..",
                        "io.vertx..",
                        "io.smallrye..",
                        "java.io..",
                        "java.net..",
                        "java.nio.file..",
                        "java.util.concurrent..")
                .check(classes);
    }

    @Test
    void policyUsesNoClockOrRandomNumbers() {
        noClasses()
                .that()
                .resideInAPackage("org.baobabcart.policy..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .check(classes);
    }

    @Test
    void routerUsesNoClusteringProxyOrStandInClasses() {
        noClasses()
                .that()
                .resideInAPackage("org.baobabcart.router..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.vertx.core.spi.cluster..", "io.vertx.httpproxy..", "org.baobabcart.standins..")
                .check(classes);
    }
}
