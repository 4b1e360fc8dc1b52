package loadbalancer.policy;

import loadbalancer.policy.SlidingWindow.Metric;
import loadbalancer.policy.settings.ServiceRules;

/**
 * Slow start: limits the traffic to a restarted endpoint according to how far it has warmed up. Its
 * capacity is assumed to grow linearly from the initial fraction to the full capacity, over the
 * longest warm-up that the service's rules allow.
 *
 * <p>Each endpoint has a token bucket; a token stands for an attempt of average load. The bucket
 * fills at the average rate of a warm endpoint times the endpoint's current fraction of its
 * capacity. Each request that would be forwarded to the endpoint takes a fraction of a token, and
 * an attempt is forwarded once the fractions add up to a whole token. If requests took whole
 * tokens, a hundred balancers could each save one token during a pause in traffic and then forward
 * a hundred requests at once.
 *
 * <p>Called by {@link BoundedLoadPlacement}.
 */
final class SlowStart {
  /** A bucket holds at most the tokens of this fraction of the overload window. */
  private static final double MAX_BURST_IN_OVERLOAD_WINDOWS = 0.25;

  /**
   * The rate that a warming endpoint is always allowed, over all balancers together. Without it, a
   * fleet in which all endpoints are warming up would wait for traffic before it allowed any.
   */
  private static final double MIN_ATTEMPTS_PER_SECOND = 2;

  /** The time over which the recent rate decays; longer than most outages. */
  private static final long RATE_DECAY_NANOS = 30_000_000_000L;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final ServiceRules rules;
  private final EndpointRegistry registry;
  private final TrafficStatistics traffic;
  private final double minAttemptsPerSecond;

  /** The rate at which this balancer admits requests; falls slowly when traffic stops. */
  private double recentRequestsPerSecond;

  /** The slow-start state of one endpoint. */
  static final class State {
    private final TokenBucket tokenBucket = new TokenBucket();

    /** The tokens that requests have taken out of the bucket, less those of forwarded attempts. */
    private double credit;

    /** Empties the bucket and sets the credit, in tokens. */
    void reset(double initialCredit, long nowNanos) {
      tokenBucket.reset(nowNanos);
      credit = initialCredit;
    }
  }

  /** Creates the slow start of one of {@code groupSize} balancers, which share the minimum rate. */
  SlowStart(
      ServiceRules rules, int groupSize, EndpointRegistry registry, TrafficStatistics traffic) {
    this.rules = rules;
    this.registry = registry;
    this.traffic = traffic;
    minAttemptsPerSecond = MIN_ATTEMPTS_PER_SECOND / groupSize;
  }

  /** Whether the endpoint may still be below its full capacity. */
  boolean isWarmingUp(Endpoint endpoint, long nowNanos) {
    return capacityFraction(endpoint, nowNanos) < 1;
  }

  /** The fraction of its full capacity that the endpoint has at least. */
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
   * Takes a fraction of a token for a request out of the bucket of an endpoint that is warming up.
   *
   * @return whether the fractions taken so far add up to a whole token, so that an attempt may be
   *     forwarded
   */
  boolean tryAcquire(Endpoint endpoint, long nowNanos) {
    State state = endpoint.slowStartState;
    double tokens = Math.min(maxTokensPerRequest(endpoint, nowNanos), refill(endpoint, nowNanos));
    state.tokenBucket.take(tokens);
    state.credit += tokens;
    return state.credit >= 1;
  }

  /** Charges a forwarded attempt, of the given load in average requests, to a warming endpoint. */
  void attemptStarted(Endpoint endpoint, double load, long nowNanos) {
    if (isWarmingUp(endpoint, nowNanos)) {
      endpoint.slowStartState.credit -= load;
    }
  }

  /** The most tokens that one request takes; also the smallest size of a bucket. */
  private double maxTokensPerRequest(Endpoint endpoint, long nowNanos) {
    return Math.min(1, Math.max(capacityFraction(endpoint, nowNanos), minAttemptsPerSecond));
  }

  private double refill(Endpoint endpoint, long nowNanos) {
    double warmEndpointRate =
        recentRequestsPerSecond
            * (registry.isLocal(endpoint)
                ? registry.localEndpointTrafficFraction()
                : 1.0 / Math.max(1, registry.readyCount()));
    double tokensPerSecond =
        Math.max(minAttemptsPerSecond, capacityFraction(endpoint, nowNanos) * warmEndpointRate);
    double burstSeconds =
        MAX_BURST_IN_OVERLOAD_WINDOWS * rules.overloadWindowNanos() / NANOS_PER_SECOND;
    return endpoint.slowStartState.tokenBucket.refill(
        nowNanos,
        tokensPerSecond,
        Math.max(maxTokensPerRequest(endpoint, nowNanos), tokensPerSecond * burstSeconds));
  }

  /**
   * Updates the recent request rate: it follows a rise at once and a fall slowly.
   *
   * @param elapsedNanos the time since the last call
   */
  void updateRecentRate(double elapsedNanos, long nowNanos) {
    double currentRequestsPerSecond =
        traffic.fleetTotal(Metric.ADMITTED, nowNanos) * NANOS_PER_SECOND / traffic.windowNanos();
    recentRequestsPerSecond =
        Math.max(
            recentRequestsPerSecond * (1 - elapsedNanos / RATE_DECAY_NANOS),
            currentRequestsPerSecond);
  }
}
