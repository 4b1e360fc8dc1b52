package loadbalancer.policy;

import java.util.List;
import loadbalancer.policy.settings.RequestClass;

/**
 * The shortest and the longest latency objective of the request classes. The policy derives its
 * durations from them.
 *
 * @param shortestNanos the shortest objective of any class
 * @param longestNanos the longest objective of any class
 */
record LatencyObjectives(long shortestNanos, long longestNanos) {
  private static final long MIN_WINDOW_NANOS = 1_000_000_000L;
  private static final double WINDOW_IN_OBJECTIVES = 2;

  /** Returns the range for the given classes, of which there must be at least one. */
  static LatencyObjectives of(List<RequestClass> requestClasses) {
    long shortest = Long.MAX_VALUE;
    long longest = 0;
    for (RequestClass requestClass : requestClasses) {
      shortest = Math.min(shortest, requestClass.latencyObjectiveNanos());
      longest = Math.max(longest, requestClass.latencyObjectiveNanos());
    }
    return new LatencyObjectives(shortest, longest);
  }

  /**
   * Returns the length of the sliding windows that admission decides by: long enough for a stable
   * mean latency, and short enough to follow a change of it.
   */
  long statisticsWindowNanos() {
    return Math.max(MIN_WINDOW_NANOS, (long) (WINDOW_IN_OBJECTIVES * longestNanos));
  }
}
