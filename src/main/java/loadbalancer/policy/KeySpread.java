package loadbalancer.policy;

import loadbalancer.policy.SlidingWindow.Metric;

/**
 * Bounds the number of endpoints that the requests of one key are spread over. Where endpoints
 * cache keys, a key that leaves its endpoints in a crowd is more work for others, and so makes the
 * crowd grow. Called by {@link BoundedLoadPlacement} once for each walk.
 */
final class KeySpread {
  private static final int MIN_ENDPOINTS_PER_KEY = 2;

  /** A key also gets this many times its fraction of the traffic, in endpoints. */
  private static final double ENDPOINTS_PER_TRAFFIC_FRACTION = 2;

  private final boolean endpointsCacheKeys;
  private final EndpointRegistry registry;
  private final TrafficStatistics traffic;
  private final InFlightTime inFlightTime;

  /** Bounds that apply where {@code endpointsCacheKeys}. */
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

  /** How many endpoints of the local zone may be tried for a request. */
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
