package loadbalancer.policy;

/**
 * The most load that may be in flight at an endpoint, by Little's law: the rate at which it serves,
 * times the latency that is wanted. It keeps a burst from waiting past its latency objective in the
 * endpoint's queue. Called by {@link LoadBound} for each endpoint that a walk of the ring comes by.
 */
final class ConcurrencyLimit {
  /** The latency wanted, in parts of the latency objective. */
  private static final double TARGET_LATENCY_IN_OBJECTIVES = 0.36;

  /** With less in flight, no endpoint could show that it has capacity again. */
  private static final int MIN_LIMIT = 2;

  private static final long MIN_SERVING_NANOS = 10_000_000L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final long statisticsWindowNanos;

  /** Limits by response statistics over half of {@code statisticsWindowNanos}. */
  ConcurrencyLimit(long statisticsWindowNanos) {
    this.statisticsWindowNanos = statisticsWindowNanos;
  }

  /**
   * The limit, in average requests. There is none until an endpoint has served enough, or a
   * restarted balancer would admit too little to learn the rate. The time that attempts waited in
   * this process counts as wanted latency, or a slow balancer would limit itself.
   */
  double limitOf(Endpoint endpoint, long nowNanos) {
    ResponseStatistics responses = endpoint.responses;
    long sinceFirstServed = nowNanos - responses.firstServedNanos();
    if (responses.firstServedNanos() == 0
        || (sinceFirstServed < statisticsWindowNanos / 4
            && responses.served(nowNanos) < TrafficStatistics.MIN_SAMPLES)) {
      return Double.MAX_VALUE;
    }
    long servingNanos =
        Math.min(statisticsWindowNanos / 2, Math.max(MIN_SERVING_NANOS, sinceFirstServed));
    double wantedInFlightNanos =
        TARGET_LATENCY_IN_OBJECTIVES * responses.objectiveSeconds(nowNanos) * NANOS_PER_SECOND
            + responses.localDelayNanos(nowNanos);
    return Math.max(MIN_LIMIT, wantedInFlightNanos / servingNanos);
  }
}
