package loadbalancer.policy;

/** Converts durations and clock readings to nanoseconds, the unit of the policy. */
final class Durations {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private Durations() {}

  static long millis(long milliseconds) {
    return milliseconds * NANOS_PER_MILLI;
  }

  static long seconds(long seconds) {
    return millis(1000 * seconds);
  }
}
