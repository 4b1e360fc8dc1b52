package loadbalancer.policy;

import loadbalancer.policy.SlidingWindow.Metric;

/**
 * The retry budget, as in Finagle: retries may add only a fraction to the admitted requests, so
 * that failures do not multiply the load that caused them. {@link RequestLifecycle} asks it before
 * each retry.
 */
final class RetryBudget {
  private static final double TOKENS_PER_ADMITTED_REQUEST = 0.2;

  private final TrafficStatistics traffic;
  private double tokens = 1;

  /** A budget for one retry, which grows with the traffic. */
  RetryBudget(TrafficStatistics traffic) {
    this.traffic = traffic;
  }

  /**
   * Adds the tokens of an admitted request. The budget holds no more than one window's requests
   * bring: a fixed size, at each of hundreds of balancers, could be an overload by itself.
   */
  void requestAdmitted(long nowNanos) {
    double maxTokens =
        Math.max(1, TOKENS_PER_ADMITTED_REQUEST * traffic.fleetTotal(Metric.OFFERED, nowNanos));
    tokens = Math.min(maxTokens, tokens + TOKENS_PER_ADMITTED_REQUEST);
  }

  /** Whether a retry may be forwarded. */
  boolean hasToken() {
    return tokens >= 1;
  }

  /** Takes the token of a retry that is forwarded. */
  void takeToken() {
    tokens--;
  }
}
