package loadbalancer.scale.config;

/** Checks of settings; a failed check names the field, the allowed values and the actual value. */
final class FanOutChecks {

  private FanOutChecks() {}

  /** Checks that a setting is above 0. */
  static void aboveZero(String field, double value) {
    check(value > 0, field, "above 0", value);
  }

  /** Checks that a setting is not negative. */
  static void notNegative(String field, double value) {
    check(value >= 0, field, "at least 0", value);
  }

  /** Checks that a setting is in a range. */
  static void inRange(String field, double value, double least, double most) {
    check(value >= least && value <= most, field, "from " + least + " to " + most, value);
  }

  /** Checks that a setting is present. */
  static void present(String field, Object value) {
    if (value == null) {
      throw new IllegalArgumentException(field + ": must be present, got nothing");
    }
  }

  private static void check(boolean valid, String field, String allowed, double value) {
    if (!valid) {
      throw new IllegalArgumentException(field + ": must be " + allowed + ", got " + value);
    }
  }
}
