package loadbalancer.policy;

/**
 * The latency-rate limiter of "Adaptive Rate Limiting" (Kademi, 2026): the allowed rate falls on a
 * straight line from the maximum rate, at the healthy latency, to the minimum rate, at the critical
 * latency. Called by {@link AdmissionController} for each request.
 *
 * @param healthyLatency the mean latency up to which the maximum rate is allowed (the paper's
 *     {@code minValue})
 * @param criticalLatency the mean latency from which only the minimum rate is allowed (the paper's
 *     {@code maxValue}), in the same unit
 */
record LatencyRateLimiter(double healthyLatency, double criticalLatency) {
  /** The latency of a healthy service, in latency objectives. */
  static final double HEALTHY_LATENCY_IN_OBJECTIVES = 0.5;

  /** The latency of a critically overloaded service, in latency objectives. */
  static final double CRITICAL_LATENCY_IN_OBJECTIVES = 1.5;

  /** The limiter whose two latencies are {@code factor} times the ordinary ones. */
  static LatencyRateLimiter scaledBy(double factor) {
    return new LatencyRateLimiter(
        HEALTHY_LATENCY_IN_OBJECTIVES * factor, CRITICAL_LATENCY_IN_OBJECTIVES * factor);
  }

  /**
   * The allowed rate at a mean latency.
   *
   * @param meanLatency in the unit of the limiter's latencies
   * @param maxRate requests in any unit of time
   * @param minRate requests in the same unit of time
   */
  double allowedRate(double meanLatency, double maxRate, double minRate) {
    double fraction =
        Math.min(
            1, Math.max(0, (meanLatency - healthyLatency) / (criticalLatency - healthyLatency)));
    return maxRate + fraction * (minRate - maxRate);
  }
}
