package loadbalancer.policy;

/**
 * The latency-based rate limiter of "Adaptive Rate Limiting" (Kademi, 2026). Between the healthy
 * and the critical latency, the allowed rate falls linearly from the maximum to the minimum rate.
 * {@link AdmissionController} calls it for each request.
 *
 * @param healthyLatency the mean latency up to which the maximum rate is allowed, in any unit; the
 *     paper's {@code minValue}
 * @param criticalLatency the mean latency from which only the minimum rate is allowed, in the same
 *     unit; the paper's {@code maxValue}
 */
record LatencyRateLimiter(double healthyLatency, double criticalLatency) {
  /** The default healthy latency, in latency objectives. */
  static final double HEALTHY_LATENCY_IN_OBJECTIVES = 0.5;

  /** The default critical latency, in latency objectives. */
  static final double CRITICAL_LATENCY_IN_OBJECTIVES = 1.5;

  /** Creates a limiter with {@code factor} times the default latencies. */
  static LatencyRateLimiter scaledBy(double factor) {
    return new LatencyRateLimiter(
        HEALTHY_LATENCY_IN_OBJECTIVES * factor, CRITICAL_LATENCY_IN_OBJECTIVES * factor);
  }

  /**
   * Returns the allowed rate at a mean latency.
   *
   * @param meanLatency the mean latency, in the unit of the two thresholds
   * @param maxRate the rate up to the healthy latency, in requests per any unit of time
   * @param minRate the rate from the critical latency on, in the unit of {@code maxRate}
   */
  double allowedRate(double meanLatency, double maxRate, double minRate) {
    double fraction =
        Math.min(
            1, Math.max(0, (meanLatency - healthyLatency) / (criticalLatency - healthyLatency)));
    return maxRate + fraction * (minRate - maxRate);
  }
}
