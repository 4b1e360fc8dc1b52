package loadbalancer.proxy.transport;

/**
 * The balancer's clock: Unix time in nanoseconds that never goes back. Endpoint lists give start
 * times as Unix time, so the policy's clock has the same origin. Usable from any thread.
 */
public final class EpochClock {

  private final long originNanos = System.currentTimeMillis() * 1_000_000L - System.nanoTime();

  /** The Unix time in nanoseconds. */
  public long nowNanos() {
    return originNanos + System.nanoTime();
  }
}
