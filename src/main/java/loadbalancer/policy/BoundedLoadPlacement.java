package loadbalancer.policy;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Chooses the endpoint of an attempt by consistent hashing with bounded loads (Mirrokni, Thorup and
 * Zadimoghaddam, 2016): walks the hash ring from the position of the request's affinity key to the
 * first endpoint whose load is below its bound. The requests of a key thus stay on few endpoints,
 * and no endpoint gets far more load than the mean. Endpoints in the local zone are preferred.
 * Called by {@link RequestLifecycle} for each attempt.
 */
final class BoundedLoadPlacement {

  /**
   * The constraints on the endpoint of an attempt.
   *
   * @param keySpread limits the number of endpoints that the requests of one key use
   * @param loadBound limits the load of each endpoint
   * @param slowStart limits the traffic of endpoints that are warming up
   * @param outlierDetector excludes endpoints that are ejected or unresponsive
   * @param retrySafety excludes endpoints at which a repeated request could take effect twice
   */
  record Constraints(
      KeySpread keySpread,
      LoadBound loadBound,
      SlowStart slowStart,
      OutlierDetector outlierDetector,
      RetrySafety retrySafety) {}

  /** The result of checking an endpoint against its bounds. */
  private enum LoadStatus {
    /** The load in flight is at its bound. */
    AT_CAPACITY,
    /** The load in flight is below its bound, the recent attempts are not. */
    ABOVE_RECENT_BOUND,
    /** Below the bound on load in flight, but limited by slow start. */
    WARMING_UP,
    /** May take the attempt. */
    WITHIN_BOUNDS
  }

  /** The first endpoint of each kind on a walk, used if no local endpoint is within its bounds. */
  private static final class Fallbacks {
    private Endpoint remoteWarmingUp;
    private Endpoint remote;
    private Endpoint aboveRecentBound;

    private void clear() {
      remoteWarmingUp = null;
      remote = null;
      aboveRecentBound = null;
    }

    private void add(Endpoint endpoint, LoadStatus status) {
      if (status == LoadStatus.WITHIN_BOUNDS && remote == null) {
        remote = endpoint;
      } else if (status == LoadStatus.WARMING_UP && remote == null && remoteWarmingUp == null) {
        remoteWarmingUp = endpoint;
      } else if (status == LoadStatus.ABOVE_RECENT_BOUND && aboveRecentBound == null) {
        aboveRecentBound = endpoint;
      }
    }
  }

  private final SplittableRandom random;
  private final EndpointRegistry registry;
  private final KeySpread keySpread;
  private final LoadBound loadBound;
  private final SlowStart slowStart;
  private final OutlierDetector outlierDetector;
  private final RetrySafety retrySafety;

  private final RingWalk walk;

  /** The fallbacks of the current walk; reused, since every attempt walks the ring. */
  private final Fallbacks fallbacks = new Fallbacks();

  /** The number of the current walk, which marks the endpoints that it has visited. */
  private long walkNumber;

  /**
   * Creates a placement over the registry's ready endpoints.
   *
   * @param random the policy's source of randomness
   */
  BoundedLoadPlacement(
      SplittableRandom random, EndpointRegistry registry, Constraints constraints) {
    this.random = random;
    this.registry = registry;
    walk = registry.newRingWalk();
    keySpread = constraints.keySpread();
    loadBound = constraints.loadBound();
    slowStart = constraints.slowStart();
    outlierDetector = constraints.outlierDetector();
    retrySafety = constraints.retrySafety();
  }

  /**
   * The endpoint for the request's next attempt, or null if no endpoint may take it. In order of
   * preference:
   *
   * <ol>
   *   <li>the first local endpoint that is within its bounds, or that is warming up and allowed the
   *       attempt by slow start;
   *   <li>a remote endpoint that is warming up and allowed the attempt by slow start, if it comes
   *       before all remote endpoints that are within their bounds;
   *   <li>the first remote endpoint within its bounds;
   *   <li>the first endpoint above its bound on recent attempts.
   * </ol>
   */
  Endpoint place(PendingRequest pending, long nowNanos) {
    walk.start(keyOf(pending));
    double maxLocalTried = keySpread.maxEndpoints(pending, nowNanos);
    loadBound.updateSharedBounds(nowNanos);
    fallbacks.clear();
    walkNumber++;
    int visited = 0;
    int localVisited = 0;
    int localTried = 0;
    while (visited < registry.readyCount()
        && localTried < maxLocalTried
        && !isDecided(localVisited)) {
      Endpoint endpoint = walk.next();
      if (endpoint.lastWalkNumber == walkNumber) {
        continue;
      }
      endpoint.lastWalkNumber = walkNumber;
      visited++;
      boolean isLocal = registry.isLocal(endpoint);
      localVisited += isLocal ? 1 : 0;
      if (!isEligible(pending, endpoint, nowNanos)) {
        continue;
      }
      LoadStatus status = loadStatus(endpoint, isLocal, nowNanos);
      if (!isLocal || status == LoadStatus.ABOVE_RECENT_BOUND) {
        fallbacks.add(endpoint, status);
      } else if (status == LoadStatus.WITHIN_BOUNDS
          || (status == LoadStatus.WARMING_UP && slowStart.tryAcquire(endpoint, nowNanos))) {
        return endpoint;
      }
      if (isLocal) {
        localTried++;
      }
    }
    return bestFallback(nowNanos);
  }

  /** Whether the rest of the walk cannot change the result, so that few endpoints are visited. */
  private boolean isDecided(int localVisited) {
    return fallbacks.remote != null && localVisited == registry.localCount();
  }

  private LoadStatus loadStatus(Endpoint endpoint, boolean isLocal, long nowNanos) {
    boolean hasCapacity = loadBound.hasCapacity(endpoint, nowNanos);
    boolean isWithinRecentBound = loadBound.isWithinRecentBound(endpoint, isLocal, nowNanos);
    if (!hasCapacity) {
      return LoadStatus.AT_CAPACITY;
    }
    if (slowStart.isWarmingUp(endpoint, nowNanos)) {
      return LoadStatus.WARMING_UP;
    }
    return isWithinRecentBound ? LoadStatus.WITHIN_BOUNDS : LoadStatus.ABOVE_RECENT_BOUND;
  }

  private Endpoint bestFallback(long nowNanos) {
    // Acquire last: credit taken for an attempt that goes elsewhere would add to a later burst.
    if (fallbacks.remoteWarmingUp != null
        && slowStart.tryAcquire(fallbacks.remoteWarmingUp, nowNanos)) {
      return fallbacks.remoteWarmingUp;
    }
    return fallbacks.remote == null ? fallbacks.aboveRecentBound : fallbacks.remote;
  }

  private String keyOf(PendingRequest pending) {
    String affinityKey = pending.request.affinityKey();
    return affinityKey == null ? "" + random.nextLong() : affinityKey;
  }

  private boolean isEligible(PendingRequest pending, Endpoint endpoint, long nowNanos) {
    return !isAvoided(pending.attempts, endpoint)
        && retrySafety.mayForwardTo(pending, endpoint, nowNanos)
        && outlierDetector.isUsable(endpoint, nowNanos);
  }

  /** Whether the endpoint has an attempt of this request, or had one and others are left to try. */
  private boolean isAvoided(List<Attempt> attempts, Endpoint endpoint) {
    for (int i = 0; i < attempts.size(); i++) {
      Attempt attempt = attempts.get(i);
      if (attempt.endpoint == endpoint
          && (attempt.isInFlight || registry.readyCount() > attempts.size())) {
        return true;
      }
    }
    return false;
  }
}
