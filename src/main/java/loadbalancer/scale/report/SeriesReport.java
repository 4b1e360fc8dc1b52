package loadbalancer.scale.report;

import java.util.List;
import java.util.Optional;

/**
 * A series in the report file, with its fitted line.
 *
 * @param name the name of the series
 * @param sizeUnit the unit of the sizes
 * @param valueUnit the unit of the values
 * @param basis how the values were obtained
 * @param points the points in order of size
 * @param line the fitted line; empty with fewer than three points
 */
public record SeriesReport(
    String name,
    String sizeUnit,
    String valueUnit,
    Basis basis,
    List<Point> points,
    Optional<FittedLine> line) {

  /** Fits the line of a series. */
  static SeriesReport of(Series series) {
    return new SeriesReport(
        series.name(),
        series.sizeUnit(),
        series.valueUnit(),
        series.basis(),
        series.points(),
        FittedLine.through(series.points()));
  }
}
