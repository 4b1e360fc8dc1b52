package loadbalancer.policy;

/**
 * The upper bounds on an endpoint's load in bounded-load placement. Its load in flight may exceed
 * the mean of the ready endpoints by a fixed fraction, but never its {@link ConcurrencyLimit}. If
 * so little is in flight that the mean is not significant, the endpoint's recent attempts, as
 * measured by {@link InFlightTime}, are bounded in the same way.
 */
final class LoadBound {
  /** The fraction by which an endpoint's load in flight may exceed the mean. */
  private static final double LOAD_SLACK = 0.5;

  /** The fraction by which an endpoint's recent attempts may exceed their mean. */
  private static final double RECENT_ATTEMPTS_SLACK = 1;

  private final EndpointRegistry registry;
  private final InFlightTime inFlightTime;
  private final ConcurrencyLimit concurrencyLimit;

  private boolean isRecentBoundActive;
  private double maxLocalRecentAttempts;
  private double maxRemoteRecentAttempts;

  /** Creates the bounds for the endpoints of the registry. */
  LoadBound(
      EndpointRegistry registry, InFlightTime inFlightTime, ConcurrencyLimit concurrencyLimit) {
    this.registry = registry;
    this.inFlightTime = inFlightTime;
    this.concurrencyLimit = concurrencyLimit;
  }

  /** Updates the bounds that all endpoints share; to be called at the start of each walk. */
  void updateSharedBounds(long nowNanos) {
    double attempts = inFlightTime.recentAttempts(nowNanos) + 1;
    maxLocalRecentAttempts =
        Math.ceil((1 + RECENT_ATTEMPTS_SLACK) * attempts * registry.localEndpointTrafficFraction());
    maxRemoteRecentAttempts =
        Math.ceil((1 + RECENT_ATTEMPTS_SLACK) * attempts / Math.max(1, registry.readyCount()));
    isRecentBoundActive = inFlightTime.isTrafficSparse(registry.readyCount(), nowNanos);
  }

  /** Whether the endpoint's load in flight is below its bound. */
  boolean hasCapacity(Endpoint endpoint, long nowNanos) {
    double maxLoad =
        Math.ceil((1 + LOAD_SLACK) * (registry.readyLoad() + 1) / registry.readyCount());
    return endpoint.load()
        < Math.min(Math.max(1, maxLoad), concurrencyLimit.limitOf(endpoint, nowNanos));
  }

  /**
   * Whether the endpoint's recent attempts are below their bound, or are not bounded at present.
   */
  boolean isWithinRecentBound(Endpoint endpoint, boolean isLocal, long nowNanos) {
    double attempts = inFlightTime.recentAttempts(endpoint, nowNanos) + 0.5;
    return !isRecentBoundActive
        || attempts < (isLocal ? maxLocalRecentAttempts : maxRemoteRecentAttempts);
  }
}
