package loadbalancer.policy;

import loadbalancer.policy.SlidingWindow.Metric;

/**
 * A retry budget as in Finagle: limits retries to a fraction of the admitted requests, so that
 * failures do not multiply the load that caused them. {@link RequestLifecycle} checks it before
 * each retry.
 */
final class RetryBudget {
  private static final double TOKENS_PER_ADMITTED_REQUEST = 0.2;

  private final TrafficStatistics traffic;
  private double tokens = 1;

  /** Creates a budget that initially allows one retry and grows with the traffic. */
  RetryBudget(TrafficStatistics traffic) {
    this.traffic = traffic;
  }

  /**
   * Adds the tokens for an admitted request. The budget holds at most the tokens of the requests
   * offered in one window. A fixed size could overload the service by itself, since each of
   * hundreds of balancers has its own budget.
   */
  void requestAdmitted(long nowNanos) {
    double maxTokens =
        Math.max(1, TOKENS_PER_ADMITTED_REQUEST * traffic.fleetTotal(Metric.OFFERED, nowNanos));
    tokens = Math.min(maxTokens, tokens + TOKENS_PER_ADMITTED_REQUEST);
  }

  /** Returns whether a retry may be forwarded. */
  boolean hasToken() {
    return tokens >= 1;
  }

  /** Takes the token for a retry that is being forwarded. */
  void takeToken() {
    tokens--;
  }
}
