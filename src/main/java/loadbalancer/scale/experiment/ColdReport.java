package loadbalancer.scale.experiment;

import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;
import loadbalancer.scale.report.Basis;
import loadbalancer.scale.report.ExperimentResult;
import loadbalancer.scale.report.Fact;
import loadbalancer.scale.report.Point;
import loadbalancer.scale.report.Series;

/** Collects the trials of the experiment "cold" into series over the number of balancers. */
final class ColdReport {

  private static final String RATIO = "ratio";
  private static final String SECONDS = "s";
  private static final String MICROS = "us";
  private static final String MILLIS = "ms";
  private static final String REQUESTS = "requests";
  private static final double MEDIAN = 50;
  private static final double NINETY_NINTH = 99;

  /** A value of each trial, reported as the mean and the range over the restarts. */
  private record Measure(
      String name, String unit, Basis basis, ToDoubleFunction<ColdTrialResult> value) {}

  private static final List<Measure> MEASURES =
      List.of(
          new Measure("used-share", RATIO, Basis.SIMULATED, ColdTrialResult::usedShare),
          new Measure(
              "used-share-of-proportional",
              RATIO,
              Basis.SIMULATED,
              ColdTrialResult::usedShareOfProportional),
          new Measure(
              "rate-before-restart",
              "attempts/s",
              Basis.SIMULATED,
              ColdTrialResult::rateBeforeRestart),
          new Measure(
              "first-request-delay",
              SECONDS,
              Basis.SIMULATED,
              ColdTrialResult::firstAttemptSeconds),
          new Measure(
              "highest-window-to-budget",
              RATIO,
              Basis.SIMULATED,
              result -> result.overload().highestRatio()),
          new Measure(
              "policy-time-per-request",
              MICROS,
              Basis.MEASURED,
              ColdTrialResult::requestProcessorMicros),
          new Measure(
              "policy-time-per-update",
              MICROS,
              Basis.MEASURED,
              ColdTrialResult::updateProcessorMicros));

  private final List<List<Point>> pointsOfMeasures = new ArrayList<>();
  private final List<Series> attemptsPerSecond = new ArrayList<>();
  private final List<Fact> facts = new ArrayList<>();

  /** Creates a report without trials. */
  ColdReport() {
    MEASURES.forEach(measure -> pointsOfMeasures.add(new ArrayList<>()));
  }

  /** Adds all trials with one number of balancers, of which there is at least one. */
  void add(int balancers, List<ColdTrialResult> results) {
    String prefix = "balancers-" + balancers + ".";
    for (int i = 0; i < MEASURES.size(); i++) {
      Measure measure = MEASURES.get(i);
      DoubleSummaryStatistics statistics =
          results.stream().mapToDouble(measure.value()).summaryStatistics();
      pointsOfMeasures.get(i).add(new Point(balancers, statistics.getAverage()));
      addRange(prefix + measure.name(), measure, statistics);
    }
    addTotals(prefix, results);
    addPhase(prefix + "before.", results.stream().map(ColdTrialResult::before).toList());
    addPhase(prefix + "warm-up.", results.stream().map(ColdTrialResult::during).toList());
    attemptsPerSecond.add(attemptsPerSecond(balancers, results));
  }

  private void addRange(String name, Measure measure, DoubleSummaryStatistics statistics) {
    addFact(name + ".mean", statistics.getAverage(), measure.unit(), measure.basis());
    addFact(name + ".min", statistics.getMin(), measure.unit(), measure.basis());
    addFact(name + ".max", statistics.getMax(), measure.unit(), measure.basis());
  }

  private void addTotals(String prefix, List<ColdTrialResult> results) {
    addCount(prefix + "windows", "windows", results, result -> result.overload().windows());
    addCount(
        prefix + "windows-over-budget", "windows", results, result -> result.overload().exceeded());
    addCount(
        prefix + "rejected-by-upstream", "attempts", results, ColdTrialResult::rejectedByUpstream);
    addCount(prefix + "arrived", REQUESTS, results, ColdTrialResult::arrivedRequests);
    addCount(prefix + "attempts", "attempts", results, ColdTrialResult::attempts);
  }

  private void addCount(
      String name,
      String unit,
      List<ColdTrialResult> results,
      ToLongFunction<ColdTrialResult> count) {
    addFact(name, results.stream().mapToLong(count).sum(), unit, Basis.SIMULATED);
  }

  private void addPhase(String prefix, List<ColdPhase> phases) {
    ColdPhase total = new ColdPhase();
    phases.forEach(total::add);
    addFact(prefix + "served", total.served(), REQUESTS, Basis.SIMULATED);
    addFact(prefix + "rejected", total.rejected(), REQUESTS, Basis.SIMULATED);
    addFact(prefix + "failed", total.failed(), REQUESTS, Basis.SIMULATED);
    addFact(prefix + "latency-p50", total.latencyMillis(MEDIAN), MILLIS, Basis.SIMULATED);
    addFact(prefix + "latency-p99", total.latencyMillis(NINETY_NINTH), MILLIS, Basis.SIMULATED);
  }

  private void addFact(String name, Number value, String unit, Basis basis) {
    facts.add(new Fact(name, value.doubleValue(), unit, basis));
  }

  private static Series attemptsPerSecond(int balancers, List<ColdTrialResult> results) {
    List<Point> points = new ArrayList<>();
    for (int second = 0; second < results.get(0).attemptsPerSecond().size(); second++) {
      int index = second;
      double mean =
          results.stream()
              .mapToLong(result -> result.attemptsPerSecond().get(index))
              .average()
              .orElseThrow();
      points.add(new Point(second, mean));
    }
    return new Series(
        "attempts-per-second.balancers-" + balancers,
        "s since the start",
        "attempts/s",
        Basis.SIMULATED,
        points);
  }

  /** The result of the experiment over all numbers of balancers that were added. */
  ExperimentResult result(String experiment) {
    List<Series> series = new ArrayList<>();
    for (int i = 0; i < MEASURES.size(); i++) {
      Measure measure = MEASURES.get(i);
      series.add(
          new Series(
              measure.name(),
              "balancers",
              measure.unit(),
              measure.basis(),
              List.copyOf(pointsOfMeasures.get(i))));
    }
    series.addAll(attemptsPerSecond);
    return new ExperimentResult(experiment, series, List.copyOf(facts));
  }
}
