package loadbalancer.scale.config;

/** Checks that the fields of a configuration file are within their allowed ranges. */
final class FieldRange {

  private FieldRange() {}

  /**
   * Checks that a field is within an inclusive range.
   *
   * @throws IllegalArgumentException if it is not
   */
  static void check(String field, double value, double minimum, double maximum) {
    if (!(value >= minimum && value <= maximum)) {
      throw new IllegalArgumentException(
          field + ": allowed " + minimum + " to " + maximum + ", got " + value);
    }
  }
}
