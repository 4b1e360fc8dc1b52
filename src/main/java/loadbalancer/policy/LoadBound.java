package loadbalancer.policy;

/**
 * The bounds on an endpoint's load in bounded-load placement: at most so much more than the mean of
 * the ready endpoints, and never above its {@link ConcurrencyLimit}. Where too little is in flight
 * for the mean to say anything, {@link InFlightTime} bounds an endpoint by its history as well.
 */
final class LoadBound {
  /** An endpoint may hold this much more than the mean load in flight. */
  private static final double LOAD_SLACK = 0.5;

  /** An endpoint's history may be this much above the mean. */
  private static final double HISTORY_SLACK = 1;

  private final EndpointRegistry registry;
  private final InFlightTime inFlightTime;
  private final ConcurrencyLimit concurrencyLimit;

  private boolean isHistoryBinding;
  private double maxLocalHistory;
  private double maxRemoteHistory;

  /** Bounds for the endpoints of the registry. */
  LoadBound(
      EndpointRegistry registry, InFlightTime inFlightTime, ConcurrencyLimit concurrencyLimit) {
    this.registry = registry;
    this.inFlightTime = inFlightTime;
    this.concurrencyLimit = concurrencyLimit;
  }

  /** Computes the bounds that are the same for all endpoints; to be called once for each walk. */
  void startWalk(long nowNanos) {
    double attempts = inFlightTime.recentAttempts(nowNanos) + 1;
    maxLocalHistory = Math.ceil((1 + HISTORY_SLACK) * attempts * registry.localEndpointFraction());
    maxRemoteHistory =
        Math.ceil((1 + HISTORY_SLACK) * attempts / Math.max(1, registry.readyCount()));
    isHistoryBinding = inFlightTime.isTrafficSparse(registry.readyCount(), nowNanos);
  }

  /** Whether the endpoint's load in flight is below its bound. */
  boolean hasCapacity(Endpoint endpoint, long nowNanos) {
    double maxLoad =
        Math.ceil((1 + LOAD_SLACK) * (registry.readyLoad() + 1) / registry.readyCount());
    return endpoint.load()
        < Math.min(Math.max(1, maxLoad), concurrencyLimit.limitOf(endpoint, nowNanos));
  }

  /** Whether the endpoint's history is below its bound, where that counts. */
  boolean isWithinHistory(Endpoint endpoint, boolean isLocal, long nowNanos) {
    double attempts = inFlightTime.recentAttempts(endpoint, nowNanos) + 0.5;
    return !isHistoryBinding || attempts < (isLocal ? maxLocalHistory : maxRemoteHistory);
  }
}
