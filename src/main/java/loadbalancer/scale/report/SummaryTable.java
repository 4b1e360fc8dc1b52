package loadbalancer.scale.report;

import java.util.Locale;

/** Formats the results of an experiment as a short text table. */
public final class SummaryTable {

  private static final String SERIES_HEADER = "%-28s %12s %12s %-10s %12s %10s %9s%n";
  private static final String SERIES_ROW = "%-28s %12.6g %12.6g %-10s %12s %10s %9s%n";
  private static final String FACT_HEADER = "%-44s %12s %-20s %s%n";
  private static final String FACT_ROW = "%-44s %12.6g %-20s %s%n";
  private static final String NO_LINE = "-";

  private SummaryTable() {}

  /** Formats the largest point and the fitted line of each series, and all facts. */
  public static String format(ExperimentReport experiment) {
    StringBuilder table = new StringBuilder();
    table.append(text("experiment %s%n", experiment.experiment()));
    if (!experiment.series().isEmpty()) {
      table.append(
          text(
              SERIES_HEADER, "series", "at size", "value", "unit", "slope", "r squared", "off by"));
      experiment.series().forEach(series -> table.append(row(series)));
    }
    if (!experiment.facts().isEmpty()) {
      table.append(text(FACT_HEADER, "fact", "value", "unit", "basis"));
      for (Fact fact : experiment.facts()) {
        table.append(
            text(FACT_ROW, fact.name(), fact.value(), fact.unit(), basisName(fact.basis())));
      }
    }
    return table.toString();
  }

  private static String row(SeriesReport series) {
    Point largest = series.points().get(series.points().size() - 1);
    return text(
        SERIES_ROW,
        series.name(),
        largest.size(),
        largest.value(),
        series.valueUnit(),
        series.line().map(line -> text("%.4g", line.slope())).orElse(NO_LINE),
        series.line().map(line -> text("%.4f", line.rSquared())).orElse(NO_LINE),
        series
            .line()
            .map(line -> text("%.0f%%", line.largestRelativeResidual() * 100))
            .orElse(NO_LINE));
  }

  private static String basisName(Basis basis) {
    return basis.name().toLowerCase(Locale.ROOT);
  }

  private static String text(String format, Object... arguments) {
    return String.format(Locale.ROOT, format, arguments);
  }
}
