package loadbalancer.scale.model;

/** Conversions of durations in the configuration to nanoseconds. */
public final class Durations {

  /** The number of nanoseconds in a second. */
  public static final double NANOS_PER_SECOND = 1e9;

  /** The number of nanoseconds in a millisecond. */
  public static final double NANOS_PER_MILLI = 1e6;

  private Durations() {}

  /** Returns a duration in seconds in nanoseconds. */
  public static long secondsToNanos(double seconds) {
    return Math.round(seconds * NANOS_PER_SECOND);
  }

  /** Returns a duration in milliseconds in nanoseconds. */
  public static long millisToNanos(double millis) {
    return Math.round(millis * NANOS_PER_MILLI);
  }
}
