package loadbalancer.policy;

import loadbalancer.policy.SlidingWindow.Metric;
import loadbalancer.policy.settings.ServiceRules;

/**
 * Slow start: an endpoint that restarted gets traffic in the measure in which it warms up. Its
 * capacity is taken to grow evenly from the initial fraction to the whole, over the longest warm-up
 * that the service's rules allow.
 *
 * <p>A token bucket for each endpoint bounds what it is forwarded, by its capacity and by what a
 * warm endpoint gets on average. Each request that would be forwarded to it takes a part of a
 * token, and an attempt is forwarded once whole parts are together. With whole tokens, a hundred
 * balancers could each save one in a lull and forward a hundred requests at once.
 *
 * <p>Called by {@link BoundedLoadPlacement}.
 */
final class SlowStart {
  /** The fraction of the overload window whose tokens a bucket holds at most. */
  private static final double MAX_BURST_IN_OVERLOAD_WINDOWS = 0.25;

  /**
   * Attempts that a warming endpoint always gets, of all balancers together: a fleet that is
   * warming up as a whole would wait for traffic before it allowed any.
   */
  private static final double MIN_ATTEMPTS_PER_SECOND = 2;

  /** The decay of the recent rate: longer than most outages. */
  private static final long RATE_DECAY_NANOS = 30_000_000_000L;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final ServiceRules rules;
  private final EndpointRegistry registry;
  private final TrafficStatistics traffic;
  private final double minAttemptsPerSecond;

  /** Requests that this balancer admits in a second; falls slowly when traffic stops. */
  private double recentRequestsPerSecond;

  /** What slow start keeps for one endpoint. */
  static final class State {
    private final TokenBucket budget = new TokenBucket();

    /** The part of an attempt that requests have taken out of the budget. */
    private double credit;

    /** Starts with an empty budget and the given part of an attempt. */
    void reset(double initialCredit, long nowNanos) {
      budget.reset(nowNanos);
      credit = initialCredit;
    }
  }

  /** Slow start for one balancer of a group that restarts endpoints under the given rules. */
  SlowStart(
      ServiceRules rules, int groupSize, EndpointRegistry registry, TrafficStatistics traffic) {
    this.rules = rules;
    this.registry = registry;
    this.traffic = traffic;
    minAttemptsPerSecond = MIN_ATTEMPTS_PER_SECOND / groupSize;
  }

  /** Whether the endpoint is still warming up. */
  boolean isWarmingUp(Endpoint endpoint, long nowNanos) {
    return capacityFraction(endpoint, nowNanos) < 1;
  }

  /** The fraction of its capacity that the endpoint has at least. */
  double capacityFraction(Endpoint endpoint, long nowNanos) {
    double progress =
        Math.max(0, nowNanos - endpoint.startedAtNanos())
            / (double) Math.max(1, rules.warmUpNanos());
    if (endpoint.startedAtNanos() <= 0 || progress >= 1) {
      return 1;
    }
    return rules.initialCapacityFraction() * (1 - progress) + progress;
  }

  /**
   * Takes a request's part of an attempt out of the budget of an endpoint that is warming up.
   *
   * @return whether the parts taken so far make up an attempt, which may then be forwarded
   */
  boolean tryAcquire(Endpoint endpoint, long nowNanos) {
    State state = endpoint.slowStartState;
    double part = Math.min(maxPart(endpoint, nowNanos), refill(endpoint, nowNanos));
    state.budget.take(part);
    state.credit += part;
    return state.credit >= 1;
  }

  /** Notes an attempt that was forwarded. */
  void attemptStarted(Endpoint endpoint, double load, long nowNanos) {
    if (isWarmingUp(endpoint, nowNanos)) {
      endpoint.slowStartState.credit -= load;
    }
  }

  /** The most that one request takes, and that a bucket can hold at least. */
  private double maxPart(Endpoint endpoint, long nowNanos) {
    return Math.min(1, Math.max(capacityFraction(endpoint, nowNanos), minAttemptsPerSecond));
  }

  private double refill(Endpoint endpoint, long nowNanos) {
    double warmEndpointRate =
        recentRequestsPerSecond
            * (registry.isLocal(endpoint)
                ? registry.localEndpointFraction()
                : 1.0 / Math.max(1, registry.readyCount()));
    double tokensPerSecond =
        Math.max(minAttemptsPerSecond, capacityFraction(endpoint, nowNanos) * warmEndpointRate);
    double burstSeconds =
        MAX_BURST_IN_OVERLOAD_WINDOWS * rules.overloadWindowNanos() / NANOS_PER_SECOND;
    return endpoint.slowStartState.budget.refill(
        nowNanos,
        tokensPerSecond,
        Math.max(maxPart(endpoint, nowNanos), tokensPerSecond * burstSeconds));
  }

  /**
   * Lets the recent rate follow the present one: up at once, down slowly.
   *
   * @param elapsedNanos the time since the last call
   */
  void updateRecentRate(double elapsedNanos, long nowNanos) {
    double presentRate =
        traffic.fleetTotal(Metric.ADMITTED, nowNanos) * NANOS_PER_SECOND / traffic.windowNanos();
    recentRequestsPerSecond =
        Math.max(recentRequestsPerSecond * (1 - elapsedNanos / RATE_DECAY_NANOS), presentRate);
  }
}
