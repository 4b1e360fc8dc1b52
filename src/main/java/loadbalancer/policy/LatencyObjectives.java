package loadbalancer.policy;

import java.util.List;
import loadbalancer.policy.settings.RequestClass;

/**
 * The range of the request classes' latency objectives, from which the policy's durations follow.
 *
 * @param shortestNanos the shortest objective of all classes
 * @param longestNanos the longest objective of all classes
 */
record LatencyObjectives(long shortestNanos, long longestNanos) {
  private static final long MIN_WINDOW_NANOS = 1_000_000_000L;
  private static final double WINDOW_IN_OBJECTIVES = 2;

  /** The objectives of the classes, of which there is at least one. */
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
   * The length of the sliding windows that admission decides by: long enough for a mean, short
   * enough to show that it changes.
   */
  long statisticsWindowNanos() {
    return Math.max(MIN_WINDOW_NANOS, (long) (WINDOW_IN_OBJECTIVES * longestNanos));
  }
}
