package loadbalancer.policy;

import java.util.SplittableRandom;
import loadbalancer.policy.settings.PolicySettings;

/**
 * When to start the watch of the endpoint list again after it failed: exponential backoff with full
 * jitter, or all balancers of a fleet would come back to the discovery service at once. Where the
 * list is pushed, only the local agent is asked, so the delay is short and does not grow.
 */
final class WatchBackoff {
  /** No watch is to be started. */
  static final long NONE = Long.MAX_VALUE;

  private static final long BASE_DELAY_NANOS = 500_000_000L;

  /**
   * What a silent watch misses counts as notified 6 s after its last byte, and the silence is
   * noticed after 4.5 s: the delay leaves half a second for the call.
   */
  private static final long MAX_DELAY_NANOS = 1_000_000_000L;

  private static final int MAX_DOUBLINGS = 10;
  private static final double PUSHED_DELAY_IN_DRAIN_GRACES = 0.2;
  private static final long MIN_PUSHED_DELAY_NANOS = 10_000_000L;

  private final boolean isListPolled;
  private final long pushedDelayNanos;
  private final SplittableRandom random;
  private int failuresInRow;
  private long nextWatchNanos = NONE;

  /**
   * A backoff before the first failure.
   *
   * @param random the policy's source of randomness
   */
  WatchBackoff(PolicySettings settings, SplittableRandom random) {
    isListPolled = settings.endpointListPolled();
    pushedDelayNanos =
        Math.max(
            MIN_PUSHED_DELAY_NANOS,
            (long) (PUSHED_DELAY_IN_DRAIN_GRACES * settings.serviceRules().drainGraceNanos()));
    this.random = random;
  }

  /** Schedules the next watch after a failure. */
  void watchFailed(long nowNanos) {
    long maxDelayNanos = pushedDelayNanos;
    if (isListPolled) {
      int doublings = Math.min(failuresInRow, MAX_DOUBLINGS);
      maxDelayNanos = Math.min(MAX_DELAY_NANOS, BASE_DELAY_NANOS << doublings);
      failuresInRow++;
    }
    nextWatchNanos = nowNanos + (long) (maxDelayNanos * random.nextDouble());
  }

  /** Starts again from the shortest delay, as the watch works. */
  void reset() {
    failuresInRow = 0;
  }

  /** When the next watch is due; {@link #NONE} where none is scheduled. */
  long nextWatchNanos() {
    return nextWatchNanos;
  }

  /** Whether a scheduled watch is due; true once for each. */
  boolean takeDueWatch(long nowNanos) {
    if (nowNanos < nextWatchNanos) {
      return false;
    }
    nextWatchNanos = NONE;
    return true;
  }
}
