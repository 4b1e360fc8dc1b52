package loadbalancer.scale.report;

import java.util.List;

/**
 * The result of one experiment in the report file.
 *
 * @param experiment the name of the experiment
 * @param series the series with their fitted lines
 * @param facts single values
 */
public record ExperimentReport(String experiment, List<SeriesReport> series, List<Fact> facts) {

  /** Fits the lines of a result's series. */
  public static ExperimentReport of(ExperimentResult result) {
    return new ExperimentReport(
        result.experiment(),
        result.series().stream().map(SeriesReport::of).toList(),
        result.facts());
  }
}
