package loadbalancer.scale.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import loadbalancer.scale.config.ColdSettings;
import loadbalancer.scale.config.ScaleConfiguration;
import loadbalancer.scale.report.Basis;
import loadbalancer.scale.report.ExperimentResult;
import loadbalancer.scale.report.Fact;
import loadbalancer.scale.report.Series;
import org.junit.jupiter.api.Test;

class ColdExperimentTest {

  private static final ColdSettings SETTINGS = ColdTestSettings.withBalancers(3, 40);

  private static ExperimentResult run(long seed) {
    return new ColdExperiment(SETTINGS, seed).run(progress -> {});
  }

  private static double fact(ExperimentResult result, String name) {
    return result.facts().stream()
        .filter(fact -> fact.name().equals(name))
        .mapToDouble(Fact::value)
        .findFirst()
        .orElseThrow();
  }

  /** Everything but the measured processor times. */
  private static List<Record> simulated(ExperimentResult result) {
    Stream<Series> series =
        result.series().stream().filter(entry -> entry.basis() == Basis.SIMULATED);
    Stream<Fact> facts = result.facts().stream().filter(fact -> fact.basis() == Basis.SIMULATED);
    return Stream.<Record>concat(series, facts).toList();
  }

  @Test
  void sameSeedGivesTheSameResult() {
    List<Record> first = simulated(run(7));
    assertEquals(first, simulated(run(7)));
    assertNotEquals(first, simulated(run(8)));
  }

  @Test
  void reportsTheWarmUpForEachNumberOfBalancers() {
    List<Double> progress = new ArrayList<>();
    ExperimentResult result = new ColdExperiment(SETTINGS, 7).run(progress::add);
    assertEquals(List.of(0.25, 0.5, 0.75, 1.0), progress);
    for (String prefix : List.of("balancers-3.", "balancers-40.")) {
      double share = fact(result, prefix + "used-share.mean");
      assertTrue(share > 0.1 && share < 1.5, "used share: " + share);
      assertTrue(fact(result, prefix + "first-request-delay.max") < 4);
      assertEquals(0, fact(result, prefix + "windows-over-budget"));
      assertTrue(fact(result, prefix + "policy-time-per-request.mean") > 0);
      assertTrue(fact(result, prefix + "before.latency-p99") >= 60);
    }
    Series attempts = result.series().get(result.series().size() - 1);
    assertEquals("attempts-per-second.balancers-40", attempts.name());
    assertEquals(10, attempts.points().size());
  }

  /** The trial itself checks that each request and each attempt ends exactly once. */
  @Test
  void failedAttemptsAreRetriedAndAllRequestsEnd() {
    ColdTrialResult result = new ColdTrial(SETTINGS, 3, 1).run();
    assertTrue(result.before().served() > 300);
    assertEquals(0, result.before().rejected() + result.before().failed());
    assertTrue(result.arrivedRequests() > 1800);
    assertEquals(
        result.attemptsPerSecond().stream().limit(4).mapToLong(Long::longValue).sum(),
        result.overload().windows());
  }

  @Test
  void offeredCapacityIsTheIntegralOverTheWarmUp() {
    OfferedCapacity offered = new OfferedCapacity(SETTINGS);
    assertEquals(20 * 0.6 * 4, offered.proportional(), 1e-3);
    // The fraction 0.6 of the capacity, 20 of 33.3 per second, is reached halfway.
    assertEquals((0.2 + 0.6) / 2 * 100 / 3 * 2 + 20 * 2, offered.cappedByFairShare(), 1e-3);
  }

  @Test
  void configurationFileAtTheRootIsValid() throws Exception {
    ScaleConfiguration configuration =
        TomlMapper.builder()
            .addModule(new Jdk8Module())
            .propertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
            .build()
            .readValue(Path.of("scale/cold.toml").toFile(), ScaleConfiguration.class);
    assertEquals(List.of(30, 500, 2000, 5100), configuration.cold().orElseThrow().balancerCounts());
  }

  @Test
  void settingsNameTheFieldAndTheAllowedAndActualValue() {
    IllegalArgumentException error =
        assertThrows(
            IllegalArgumentException.class, () -> ColdTestSettings.withBalancers(3, 40, 40));
    assertEquals("balancer-counts: expected 41 to 50000, got 40", error.getMessage());
  }
}
