package loadbalancer.scale.model;

/** Converts the settings' units of time to nanoseconds. */
final class TimeUnits {

  /** Nanoseconds in a second. */
  static final long NANOS_PER_SECOND = 1_000_000_000L;

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_MICRO = 1e3;

  private TimeUnits() {}

  /** Converts seconds. */
  static long fromSeconds(double seconds) {
    return Math.round(seconds * NANOS_PER_SECOND);
  }

  /** Converts milliseconds. */
  static long fromMillis(double millis) {
    return Math.round(millis * NANOS_PER_MILLI);
  }

  /** Converts microseconds. */
  static long fromMicros(double micros) {
    return Math.round(micros * NANOS_PER_MICRO);
  }
}
