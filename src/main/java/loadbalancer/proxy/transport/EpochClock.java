package loadbalancer.proxy.transport;

/**
 * A monotonic clock in Unix time, the balancer's clock. It reads the system time once, at its
 * creation, and does not follow later adjustments. Its origin is the Unix epoch because endpoint
 * lists contain start times in Unix time. Thread-safe.
 */
public final class EpochClock {

  private final long originNanos = System.currentTimeMillis() * 1_000_000L - System.nanoTime();

  /** The current time in nanoseconds since the Unix epoch. */
  public long nowNanos() {
    return originNanos + System.nanoTime();
  }
}
