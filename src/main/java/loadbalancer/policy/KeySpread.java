package loadbalancer.policy;

import loadbalancer.policy.SlidingWindow.Metric;

/**
 * Limits the number of endpoints that the requests of one key are spread over. An endpoint that
 * caches keys serves a key that it does not hold at a higher cost. Moving keys away from their
 * endpoints under high load would therefore add load, and so move further keys. Called by {@link
 * BoundedLoadPlacement} once for each walk.
 */
final class KeySpread {
  private static final int MIN_ENDPOINTS_PER_KEY = 2;

  /**
   * In addition, a key gets this multiple of its fraction of the traffic, as a fraction of the
   * ready endpoints.
   */
  private static final double ENDPOINTS_PER_TRAFFIC_FRACTION = 2;

  private final boolean endpointsCacheKeys;
  private final EndpointRegistry registry;
  private final TrafficStatistics traffic;
  private final InFlightTime inFlightTime;

  /** Creates a limit that applies only if {@code endpointsCacheKeys} is set. */
  KeySpread(
      boolean endpointsCacheKeys,
      EndpointRegistry registry,
      TrafficStatistics traffic,
      InFlightTime inFlightTime) {
    this.endpointsCacheKeys = endpointsCacheKeys;
    this.registry = registry;
    this.traffic = traffic;
    this.inFlightTime = inFlightTime;
  }

  /**
   * The number of local endpoints that may be tried for a request; the number of ready endpoints,
   * and so no limit, if endpoints do not cache keys or traffic is sparse.
   */
  double maxEndpoints(PendingRequest pending, long nowNanos) {
    double keyTraffic = pending.windows.key().total(nowNanos, Metric.OFFERED);
    double allTraffic = traffic.fleetTotal(Metric.OFFERED, nowNanos);
    int ready = registry.readyCount();
    if (!endpointsCacheKeys || inFlightTime.isTrafficSparse(ready, nowNanos)) {
      return ready;
    }
    double keyFraction = keyTraffic / Math.max(1, allTraffic);
    return MIN_ENDPOINTS_PER_KEY + Math.ceil(ENDPOINTS_PER_TRAFFIC_FRACTION * ready * keyFraction);
  }
}
