package loadbalancer.policy;

import java.util.SplittableRandom;
import loadbalancer.policy.settings.PolicySettings;

/**
 * Schedules restarts of the endpoint list watch after failures. A polled list uses exponential
 * backoff with full jitter, so that the balancers of a fleet do not all reconnect to the discovery
 * service at the same time. A pushed list is watched through the local agent only, so its delay is
 * short and does not grow.
 */
final class WatchBackoff {
  /** The value of {@link #nextWatchNanos} while no restart is scheduled. */
  static final long NONE = Long.MAX_VALUE;

  private static final long BASE_DELAY_NANOS = 500_000_000L;

  /**
   * A change that a silent watch misses counts as notified 6 s after the last byte of the watch.
   * The silence is detected after 4.5 s, so this delay leaves 0.5 s for the call that restarts the
   * watch.
   */
  private static final long MAX_DELAY_NANOS = 1_000_000_000L;

  private static final int MAX_DOUBLINGS = 10;

  /**
   * The maximum delay for a pushed list, as a fraction of the drain grace. Changes count as
   * notified even while no watch is running, so the watch has to restart well within the drain
   * grace.
   */
  private static final double PUSHED_DELAY_CAP_IN_DRAIN_GRACES = 0.2;

  /** The lower limit of the maximum delay for a pushed list, for a very short drain grace. */
  private static final long MIN_PUSHED_DELAY_CAP_NANOS = 10_000_000L;

  private final boolean isListPolled;
  private final long pushedDelayCapNanos;
  private final SplittableRandom random;
  private int consecutiveFailures;
  private long nextWatchNanos = NONE;

  /**
   * Creates a backoff without failures.
   *
   * @param random the policy's source of randomness
   */
  WatchBackoff(PolicySettings settings, SplittableRandom random) {
    isListPolled = settings.endpointListPolled();
    pushedDelayCapNanos =
        Math.max(
            MIN_PUSHED_DELAY_CAP_NANOS,
            (long) (PUSHED_DELAY_CAP_IN_DRAIN_GRACES * settings.serviceRules().drainGraceNanos()));
    this.random = random;
  }

  /** Schedules a restart of the watch after it failed. */
  void watchFailed(long nowNanos) {
    long maxDelayNanos = pushedDelayCapNanos;
    if (isListPolled) {
      int doublings = Math.min(consecutiveFailures, MAX_DOUBLINGS);
      maxDelayNanos = Math.min(MAX_DELAY_NANOS, BASE_DELAY_NANOS << doublings);
      consecutiveFailures++;
    }
    nextWatchNanos = nowNanos + (long) (maxDelayNanos * random.nextDouble());
  }

  /** Resets the backoff to the shortest delay after the watch delivered an update. */
  void reset() {
    consecutiveFailures = 0;
  }

  /** Returns when the scheduled restart is due, or {@link #NONE} if none is scheduled. */
  long nextWatchNanos() {
    return nextWatchNanos;
  }

  /** Clears the scheduled restart if it is due and returns whether it was. */
  boolean clearIfDue(long nowNanos) {
    if (nowNanos < nextWatchNanos) {
      return false;
    }
    nextWatchNanos = NONE;
    return true;
  }
}
