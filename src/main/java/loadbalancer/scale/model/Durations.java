package loadbalancer.scale.model;

/** Conversions between nanoseconds and the units of time of the configuration and the report. */
public final class Durations {

  /** The number of nanoseconds in a second. */
  public static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** The number of nanoseconds in a millisecond. */
  public static final double NANOS_PER_MILLI = 1e6;

  /** The number of nanoseconds in a microsecond. */
  public static final double NANOS_PER_MICRO = 1e3;

  private Durations() {}

  /** Returns a duration in seconds in nanoseconds. */
  public static long secondsToNanos(double seconds) {
    return Math.round(seconds * NANOS_PER_SECOND);
  }

  /** Returns a duration in milliseconds in nanoseconds. */
  public static long millisToNanos(double millis) {
    return Math.round(millis * NANOS_PER_MILLI);
  }

  /** Returns a duration in microseconds in nanoseconds. */
  public static long microsToNanos(double micros) {
    return Math.round(micros * NANOS_PER_MICRO);
  }
}
