package loadbalancer.policy;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Chooses the endpoint of an attempt by consistent hashing with bounded loads (Mirrokni, Thorup and
 * Zadimoghaddam, 2016): the first endpoint on the key's walk of the hash ring whose load is below
 * its bound, so that a key keeps its endpoints and none is crowded. Endpoints of the local zone
 * come first. Called by {@link RequestLifecycle} for each attempt.
 */
final class BoundedLoadPlacement {

  /**
   * The rules that a placement keeps.
   *
   * @param keySpread over how many endpoints a key spreads
   * @param loadBound how much load an endpoint takes
   * @param slowStart how much of it while the endpoint warms up
   * @param outlierDetector which endpoints are left out
   * @param retrySafety which endpoints a repeated request may go to
   */
  record Rules(
      KeySpread keySpread,
      LoadBound loadBound,
      SlowStart slowStart,
      OutlierDetector outlierDetector,
      RetrySafety retrySafety) {}

  /** How an endpoint stands to its bounds. */
  private enum Fit {
    AT_CAPACITY,
    ABOVE_HISTORY,
    WARMING_UP,
    WITHIN_BOUNDS
  }

  /** The first endpoint of each kind on a walk, for where no local one is within its bounds. */
  private static final class Fallbacks {
    private Endpoint remoteWarmingUp;
    private Endpoint remote;
    private Endpoint aboveHistory;

    private void clear() {
      remoteWarmingUp = null;
      remote = null;
      aboveHistory = null;
    }

    private void add(Endpoint endpoint, Fit fit) {
      if (fit == Fit.WITHIN_BOUNDS && remote == null) {
        remote = endpoint;
      } else if (fit == Fit.WARMING_UP && remote == null && remoteWarmingUp == null) {
        remoteWarmingUp = endpoint;
      } else if (fit == Fit.ABOVE_HISTORY && aboveHistory == null) {
        aboveHistory = endpoint;
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

  /** Of the present walk; one object for all, as a walk is part of each attempt. */
  private final Fallbacks fallbacks = new Fallbacks();

  /** The number of the present walk, which marks the endpoints that it came by. */
  private long walk;

  /**
   * A placement among the registry's ready endpoints.
   *
   * @param random the policy's source of randomness
   */
  BoundedLoadPlacement(SplittableRandom random, EndpointRegistry registry, Rules rules) {
    this.random = random;
    this.registry = registry;
    keySpread = rules.keySpread();
    loadBound = rules.loadBound();
    slowStart = rules.slowStart();
    outlierDetector = rules.outlierDetector();
    retrySafety = rules.retrySafety();
  }

  /**
   * The endpoint for the request's next attempt; null where none may take it. In order of
   * preference: a local one within its bounds; a remote one within its bounds, or one before it
   * that is warming up and whose slow start allows it; one above the bound of its history.
   */
  Endpoint place(PendingRequest pending, long nowNanos) {
    HashRing ring = registry.ring();
    int position = startOf(pending, ring);
    double maxLocalTried = keySpread.maxEndpoints(pending, nowNanos);
    loadBound.startWalk(nowNanos);
    fallbacks.clear();
    walk++;
    int visited = 0;
    int localTried = 0;
    while (visited < registry.readyCount() && localTried < maxLocalTried) {
      Endpoint endpoint = ring.ownerAt(position);
      position++;
      if (endpoint.lastWalk == walk) {
        continue;
      }
      endpoint.lastWalk = walk;
      visited++;
      if (!isEligible(pending, endpoint, nowNanos)) {
        continue;
      }
      boolean isLocal = registry.isLocal(endpoint);
      Fit fit = fitOf(endpoint, isLocal, nowNanos);
      if (!isLocal || fit == Fit.ABOVE_HISTORY) {
        fallbacks.add(endpoint, fit);
      } else if (fit == Fit.WITHIN_BOUNDS
          || (fit == Fit.WARMING_UP && slowStart.tryAcquire(endpoint, nowNanos))) {
        return endpoint;
      }
      if (isLocal) {
        localTried++;
      }
    }
    return bestFallback(nowNanos);
  }

  private Fit fitOf(Endpoint endpoint, boolean isLocal, long nowNanos) {
    boolean hasCapacity = loadBound.hasCapacity(endpoint, nowNanos);
    boolean isWithinHistory = loadBound.isWithinHistory(endpoint, isLocal, nowNanos);
    if (!hasCapacity) {
      return Fit.AT_CAPACITY;
    }
    if (slowStart.isWarmingUp(endpoint, nowNanos)) {
      return Fit.WARMING_UP;
    }
    return isWithinHistory ? Fit.WITHIN_BOUNDS : Fit.ABOVE_HISTORY;
  }

  private Endpoint bestFallback(long nowNanos) {
    // Acquired last: credit that is taken for an attempt that goes elsewhere would add to a burst.
    if (fallbacks.remoteWarmingUp != null
        && slowStart.tryAcquire(fallbacks.remoteWarmingUp, nowNanos)) {
      return fallbacks.remoteWarmingUp;
    }
    return fallbacks.remote == null ? fallbacks.aboveHistory : fallbacks.remote;
  }

  private int startOf(PendingRequest pending, HashRing ring) {
    String key = pending.request.key();
    return ring.positionOf(key == null ? "" + random.nextLong() : key);
  }

  private boolean isEligible(PendingRequest pending, Endpoint endpoint, long nowNanos) {
    return !isAvoided(pending.attempts, endpoint)
        && retrySafety.mayForwardTo(pending, endpoint, nowNanos)
        && outlierDetector.isUsable(endpoint, nowNanos);
  }

  /** Whether the endpoint has an attempt of the request, or had one and there are others left. */
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
