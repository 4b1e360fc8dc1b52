package loadbalancer.scale.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the line fitted through the points of a series. */
class FittedLineTest {

  private static final double TOLERANCE = 1e-9;

  @Test
  void linearCostHasNoResiduals() {
    FittedLine line =
        FittedLine.through(List.of(new Point(1, 5), new Point(2, 7), new Point(4, 11)))
            .orElseThrow();
    assertEquals(2, line.slope(), TOLERANCE);
    assertEquals(3, line.intercept(), TOLERANCE);
    assertEquals(0, line.slopeStandardError(), TOLERANCE);
    assertEquals(1, line.rSquared(), TOLERANCE);
    assertEquals(0, line.largestRelativeResidual(), TOLERANCE);
    assertEquals(23, line.at(10), TOLERANCE);
  }

  @Test
  void residualsAreValuesLessTheLine() {
    FittedLine line =
        FittedLine.through(List.of(new Point(0, 0), new Point(1, 3), new Point(2, 0)))
            .orElseThrow();
    assertEquals(0, line.slope(), TOLERANCE);
    assertEquals(1, line.intercept(), TOLERANCE);
    // The residual variance is (1 + 4 + 1) / (3 - 2), and the sum of squares of the sizes is 2.
    assertEquals(Math.sqrt(3), line.slopeStandardError(), TOLERANCE);
    assertEquals(0, line.rSquared(), TOLERANCE);
    assertEquals(3, line.residuals().size());
    assertEquals(-1, line.residuals().get(0), TOLERANCE);
    assertEquals(2, line.residuals().get(1), TOLERANCE);
    assertEquals(-1, line.residuals().get(2), TOLERANCE);
    assertEquals(2.0 / 3, line.largestRelativeResidual(), TOLERANCE);
  }

  @Test
  void quadraticCostHasALargeRelativeResidual() {
    FittedLine line =
        FittedLine.through(List.of(new Point(1, 1), new Point(10, 100), new Point(100, 10_000)))
            .orElseThrow();
    assertTrue(line.largestRelativeResidual() > 1);
  }

  @Test
  void equalValuesAreExactlyOnALine() {
    FittedLine line =
        FittedLine.through(List.of(new Point(1, 4), new Point(2, 4), new Point(3, 4)))
            .orElseThrow();
    assertEquals(0, line.slope(), TOLERANCE);
    assertEquals(1, line.rSquared(), TOLERANCE);
  }

  @Test
  void twoPointsOrOneSizeHaveNoLine() {
    assertEquals(Optional.empty(), FittedLine.through(List.of()));
    assertEquals(Optional.empty(), FittedLine.through(List.of(new Point(1, 1), new Point(2, 2))));
    assertEquals(
        Optional.empty(),
        FittedLine.through(List.of(new Point(1, 1), new Point(1, 2), new Point(1, 3))));
  }
}
