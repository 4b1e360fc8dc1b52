package loadbalancer.scale.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import loadbalancer.scale.config.EventKind;
import loadbalancer.scale.config.Replication;
import loadbalancer.scale.config.TinyChangeSettings;
import loadbalancer.scale.report.Basis;
import loadbalancer.scale.report.ExperimentResult;
import loadbalancer.scale.report.Fact;
import loadbalancer.scale.report.Series;
import org.junit.jupiter.api.Test;

class ChangeExperimentTest {

  private static ExperimentResult run() {
    return new ChangeExperiment(
            TinyChangeSettings.of(
                Replication.REGIONAL_TREE,
                TinyChangeSettings.LONG_HISTORY,
                List.of(TinyChangeSettings.event(EventKind.BURST, 20, 0))),
            7)
        .run(fraction -> assertTrue(fraction >= 0 && fraction <= 1));
  }

  private static List<Fact> withoutMeasured(ExperimentResult result) {
    return result.facts().stream().filter(fact -> fact.basis() == Basis.SIMULATED).toList();
  }

  @Test
  void reportsFactsAndSeriesOfATinyRun() {
    ExperimentResult result = run();
    Map<String, Double> facts =
        result.facts().stream().collect(Collectors.toMap(Fact::name, Fact::value));
    assertEquals(0, facts.get("deliveries-missing"));
    assertEquals(facts.get("sampled-balancers"), facts.get("sampled-balancers-converged"));
    assertTrue(facts.get("steady-delay-p50") > 0);
    assertTrue(facts.get("steady-delay-p50") <= facts.get("steady-delay-worst"));
    assertTrue(facts.get("burst-delay-p99") > 0);
    assertTrue(facts.get("apply-message") > 0);
    assertEquals(
        List.of(
            "delay-p99", "delay-worst", "machine-core-share", "balancer-bytes", "apply-message"),
        result.series().stream().map(Series::name).toList());
    result.series().stream()
        .filter(series -> !series.name().equals("apply-message"))
        .forEach(series -> assertEquals(2, series.points().size()));
  }

  @Test
  void reportsTheSameForTheSameSeed() {
    assertEquals(withoutMeasured(run()), withoutMeasured(run()));
  }
}
