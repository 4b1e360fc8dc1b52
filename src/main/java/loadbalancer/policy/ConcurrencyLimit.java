package loadbalancer.policy;

/**
 * The maximum load in flight at an endpoint, by Little's law: its service rate times the target
 * latency. It keeps the requests of a burst from waiting in the endpoint's queue until they miss
 * their latency objective. Called by {@link LoadBound} for each endpoint visited on a walk of the
 * hash ring.
 */
final class ConcurrencyLimit {
  /** The target latency, as a fraction of the latency objective. */
  private static final double TARGET_LATENCY_IN_OBJECTIVES = 0.36;

  /** With less in flight, an endpoint could not show that its capacity has recovered. */
  private static final int MIN_LIMIT = 2;

  private static final long MIN_MEASURED_NANOS = 10_000_000L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final long statisticsWindowNanos;

  /** Creates limits from response statistics that cover half of {@code statisticsWindowNanos}. */
  ConcurrencyLimit(long statisticsWindowNanos) {
    this.statisticsWindowNanos = statisticsWindowNanos;
  }

  /**
   * The limit, in average requests; {@link Double#MAX_VALUE} until the endpoint has served enough
   * for its rate to be measured, since a restarted balancer would otherwise admit too little to
   * measure it. The local delay, the time that attempts waited in this process, is added to the
   * target latency, so that a slow balancer does not limit itself.
   */
  double limitOf(Endpoint endpoint, long nowNanos) {
    ResponseStatistics responses = endpoint.responses;
    long sinceFirstServed = nowNanos - responses.firstServedNanos();
    if (responses.firstServedNanos() == 0
        || (sinceFirstServed < statisticsWindowNanos / 4
            && responses.served(nowNanos) < TrafficStatistics.MIN_SAMPLES)) {
      return Double.MAX_VALUE;
    }
    long measuredNanos =
        Math.min(statisticsWindowNanos / 2, Math.max(MIN_MEASURED_NANOS, sinceFirstServed));
    double targetInFlightNanos =
        TARGET_LATENCY_IN_OBJECTIVES * responses.objectiveSeconds(nowNanos) * NANOS_PER_SECOND
            + responses.localDelayNanos(nowNanos);
    return Math.max(MIN_LIMIT, targetInFlightNanos / measuredNanos);
  }
}
