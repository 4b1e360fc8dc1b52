package loadbalancer.scale.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * The line fitted through the points of a series by least squares.
 *
 * @param slope the increase of the value for each unit of size
 * @param intercept the value at size 0
 * @param slopeStandardError the standard error of the slope
 * @param rSquared the fraction of the values' variance that the line explains
 * @param residuals for each point, its value less the line's
 * @param largestRelativeResidual the largest residual relative to the point's value; large where
 *     the cost is far from linear
 */
public record FittedLine(
    double slope,
    double intercept,
    double slopeStandardError,
    double rSquared,
    List<Double> residuals,
    double largestRelativeResidual) {

  /** With two points, the line has no error. */
  private static final int MIN_POINTS = 3;

  /**
   * Fits a line. Empty if there are fewer than three points, or all points are of the same size.
   */
  public static Optional<FittedLine> through(List<Point> points) {
    SimpleRegression regression = new SimpleRegression();
    points.forEach(point -> regression.addData(point.size(), point.value()));
    if (points.size() < MIN_POINTS || Double.isNaN(regression.getSlope())) {
      return Optional.empty();
    }
    List<Double> residuals = new ArrayList<>();
    double largestRelativeResidual = 0;
    for (Point point : points) {
      double residual = point.value() - regression.predict(point.size());
      residuals.add(residual);
      if (point.value() != 0) {
        largestRelativeResidual =
            Math.max(largestRelativeResidual, Math.abs(residual / point.value()));
      }
    }
    return Optional.of(
        new FittedLine(
            regression.getSlope(),
            regression.getIntercept(),
            regression.getSlopeStdErr(),
            rSquared(regression),
            List.copyOf(residuals),
            largestRelativeResidual));
  }

  /** Equal values have no variance to explain; their line is exact. */
  private static double rSquared(SimpleRegression regression) {
    return regression.getTotalSumSquares() == 0 ? 1 : regression.getRSquare();
  }

  /** The value of the line at a size. */
  public double at(double size) {
    return intercept + slope * size;
  }
}
