package loadbalancer.scale.config;

/**
 * Checks of the settings' fields, with messages that name the field, what it allows and its value.
 */
final class FieldCheck {

  private FieldCheck() {}

  /** Throws an exception unless the value is at least the minimum. */
  static void atLeast(String field, double minimum, double value) {
    // A negated comparison, so that NaN is refused.
    if (!(value >= minimum)) {
      throw invalid(field, "at least " + number(minimum), number(value));
    }
  }

  /** Throws an exception unless the value is above zero. */
  static void aboveZero(String field, double value) {
    if (!(value > 0)) {
      throw invalid(field, "above 0", number(value));
    }
  }

  /** Throws an exception unless the value is within an inclusive range. */
  static void inRange(String field, double minimum, double maximum, double value) {
    if (!(value >= minimum && value <= maximum)) {
      throw invalid(field, number(minimum) + " to " + number(maximum), number(value));
    }
  }

  /** Throws an exception if the field is missing. */
  static void present(String field, Object value) {
    if (value == null) {
      throw invalid(field, "a value", "nothing");
    }
  }

  /** Returns the exception for a value that the field does not allow. */
  static IllegalArgumentException invalid(String field, String allowed, String actual) {
    return new IllegalArgumentException(field + ": expected " + allowed + ", got " + actual);
  }

  private static String number(double value) {
    return value == Math.rint(value) && Math.abs(value) < Long.MAX_VALUE
        ? Long.toString((long) value)
        : Double.toString(value);
  }
}
