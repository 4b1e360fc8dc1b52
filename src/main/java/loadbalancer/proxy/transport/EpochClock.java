package loadbalancer.proxy.transport;

/**
 * The balancer's clock: Unix time in nanoseconds that never goes back. The list gives start times
 * in Unix time and 0 for "long ago", so the module's clock has to have the same origin.
 */
public final class EpochClock {

  private final long origin = System.currentTimeMillis() * 1_000_000L - System.nanoTime();

  public long nowNanos() {
    return origin + System.nanoTime();
  }
}
