package loadbalancer.policy;

import loadbalancer.policy.settings.Limits;

/**
 * Hedged requests, after Dean and Barroso, "The Tail at Scale": a second attempt beside one whose
 * endpoint has become unresponsive, where the deployment allows two at a time. A token bucket keeps
 * them few, and hedges that win the race allow further ones.
 *
 * <p>None is sent while the fleet is overloaded: hedging would add to the overload.
 */
final class HedgingPolicy {
  private static final double TOKENS_PER_ADMITTED_REQUEST = 0.01;
  private static final double TOKENS_PER_WON_HEDGE = 1.3;
  private static final double MAX_TOKENS = 20;

  private final Limits limits;
  private final OutlierDetector outlierDetector;
  private final TrafficStatistics traffic;
  private double tokens = MAX_TOKENS;

  /** A policy with a full bucket. */
  HedgingPolicy(Limits limits, OutlierDetector outlierDetector, TrafficStatistics traffic) {
    this.limits = limits;
    this.outlierDetector = outlierDetector;
    this.traffic = traffic;
  }

  /** Adds the tokens of an admitted request. */
  void requestAdmitted() {
    addTokens(TOKENS_PER_ADMITTED_REQUEST);
  }

  /** Adds the tokens of a hedged attempt that was served before the first one. */
  void hedgeWon() {
    addTokens(TOKENS_PER_WON_HEDGE);
  }

  private void addTokens(double amount) {
    tokens = Math.min(MAX_TOKENS, tokens + amount);
  }

  /** Whether the request may get a second attempt in flight now. */
  boolean mayHedge(PendingRequest pending, long nowNanos) {
    return pending.inFlight == 1
        && limits.hedging()
        && limits.cancellation()
        && pending.attempts.size() < limits.maxAttempts()
        && tokens >= 1
        && outlierDetector.isUnresponsive(pending.lastAttempt().endpoint, nowNanos)
        && nowNanos < lastUsefulNanos(pending)
        && traffic.isFleetHealthy(nowNanos);
  }

  private static long lastUsefulNanos(PendingRequest pending) {
    return Math.min(
        pending.request.deadlineNanos(),
        pending.arrivedAtNanos + pending.requestClass.latencyObjectiveNanos());
  }

  /** Takes the token of a hedged attempt that is forwarded. */
  void takeToken() {
    tokens--;
  }
}
