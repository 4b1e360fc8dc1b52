package loadbalancer.policy;

import loadbalancer.policy.settings.Limits;

/**
 * Decides on hedged requests, as described by Dean and Barroso in "The Tail at Scale": a second
 * attempt for a request whose endpoint has become unresponsive. The deployment must allow two
 * attempts in flight and their cancellation. A token bucket limits the number of hedges; a hedge
 * that is served first adds tokens for further ones.
 *
 * <p>No hedge is sent while the fleet is overloaded, since it would add to the overload.
 */
final class HedgingPolicy {
  private static final double TOKENS_PER_ADMITTED_REQUEST = 0.01;
  private static final double TOKENS_PER_WON_HEDGE = 1.3;
  private static final double MAX_TOKENS = 20;

  private final Limits limits;
  private final OutlierDetector outlierDetector;
  private final TrafficStatistics traffic;
  private double tokens = MAX_TOKENS;

  /** Creates a hedging policy with a full token bucket. */
  HedgingPolicy(Limits limits, OutlierDetector outlierDetector, TrafficStatistics traffic) {
    this.limits = limits;
    this.outlierDetector = outlierDetector;
    this.traffic = traffic;
  }

  /** Adds the tokens for an admitted request. */
  void requestAdmitted() {
    addTokens(TOKENS_PER_ADMITTED_REQUEST);
  }

  /** Adds the tokens for a hedge that was served before the request's other attempt. */
  void hedgeWon() {
    addTokens(TOKENS_PER_WON_HEDGE);
  }

  private void addTokens(double amount) {
    tokens = Math.min(MAX_TOKENS, tokens + amount);
  }

  /** Returns whether the request has one attempt in flight and may get a second one now. */
  boolean mayHedge(PendingRequest pending, long nowNanos) {
    return pending.inFlight == 1
        && limits.hedging()
        && limits.cancellation()
        && pending.attempts.size() < limits.maxAttempts()
        && tokens >= 1
        && outlierDetector.isUnresponsive(pending.lastAttempt().endpoint, nowNanos)
        && nowNanos < hedgeDeadlineNanos(pending)
        && traffic.isFleetHealthy(nowNanos);
  }

  /** Returns when a hedge is no longer useful. */
  private static long hedgeDeadlineNanos(PendingRequest pending) {
    return Math.min(
        pending.request.deadlineNanos(),
        pending.arrivedAtNanos + pending.requestClass.latencyObjectiveNanos());
  }

  /** Takes the token for a hedge that is being forwarded. */
  void takeToken() {
    tokens--;
  }
}
