package loadbalancer.policy;

/** Durations and clock readings in nanoseconds, as the policy takes them. */
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
