package loadbalancer;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks the dependencies between the packages against those in docs/ARCHITECTURE.md. */
@AnalyzeClasses(packages = "loadbalancer", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

  @ArchTest
  static final ArchRule PACKAGES_HAVE_NO_CYCLIC_DEPENDENCIES =
      slices().matching("loadbalancer.(**)").should().beFreeOfCycles();

  @ArchTest
  static final ArchRule POLICY_DEPENDS_ON_JAVA_LANG_AND_JAVA_UTIL_ONLY =
      classes()
          .that()
          .resideInAPackage("loadbalancer.policy..")
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage("loadbalancer.policy..", "java.lang..", "java.util..");

  /** The policy is deterministic: the time comes with each event, random numbers from its seed. */
  @ArchTest
  static final ArchRule POLICY_USES_NO_SYSTEM_CLOCK_CONCURRENCY_JDK_RANDOM_OR_CONSOLE =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.policy..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("java.util.concurrent..")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.util.Random")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .accessField(System.class, "out")
          .orShould()
          .accessField(System.class, "err");

  @ArchTest
  static final ArchRule ONLY_CONFIG_SIMULATOR_AND_SCALE_RUN_USE_JACKSON =
      noClasses()
          .that()
          .resideOutsideOfPackages(
              "loadbalancer.config..", "loadbalancer.simulator..", "loadbalancer.scale..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("com.fasterxml..");

  @ArchTest
  static final ArchRule LAYERS_ARE_ACCESSED_BY_THE_LISTED_LAYERS_ONLY =
      layeredArchitecture()
          .consideringOnlyDependenciesInLayers()
          .layer("command line")
          .definedBy("loadbalancer")
          .layer("scale run")
          .definedBy("loadbalancer.scale..")
          .layer("simulator")
          .definedBy("loadbalancer.simulator..")
          .layer("lifecycle")
          .definedBy("loadbalancer.proxy.lifecycle..")
          .layer("downstream")
          .definedBy("loadbalancer.proxy.downstream..")
          .layer("discovery")
          .definedBy("loadbalancer.proxy.discovery..")
          .layer("coordinator")
          .definedBy("loadbalancer.proxy.coordinator..")
          .layer("upstream")
          .definedBy("loadbalancer.proxy.upstream..")
          .layer("config")
          .definedBy("loadbalancer.config..")
          .layer("policy")
          .definedBy("loadbalancer.policy")
          .whereLayer("command line")
          .mayNotBeAccessedByAnyLayer()
          .whereLayer("scale run")
          .mayNotBeAccessedByAnyLayer()
          .whereLayer("simulator")
          .mayOnlyBeAccessedByLayers("command line")
          .whereLayer("lifecycle")
          .mayOnlyBeAccessedByLayers("command line")
          .whereLayer("downstream")
          .mayOnlyBeAccessedByLayers("lifecycle")
          .whereLayer("discovery")
          .mayOnlyBeAccessedByLayers("lifecycle", "scale run")
          .whereLayer("coordinator")
          .mayOnlyBeAccessedByLayers("downstream", "lifecycle", "scale run")
          .whereLayer("upstream")
          .mayOnlyBeAccessedByLayers("coordinator", "lifecycle", "scale run")
          .whereLayer("config")
          .mayOnlyBeAccessedByLayers(
              "command line",
              "scale run",
              "simulator",
              "lifecycle",
              "discovery",
              "coordinator",
              "upstream")
          .whereLayer("policy")
          .mayOnlyBeAccessedByLayers("scale run", "simulator", "lifecycle", "coordinator");
}
