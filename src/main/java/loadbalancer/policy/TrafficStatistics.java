package loadbalancer.policy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.policy.SlidingWindow.Metric;
import loadbalancer.policy.event.RequestArrived;

/**
 * The traffic of this balancer, counted in sliding windows: one for each class, tenant and affinity
 * key, one for each class and tenant, one each for all requests within and over quota, and one for
 * the whole fleet. Latencies are in multiples of the request's latency objective, so that classes
 * can share a window.
 *
 * <p>{@link AdmissionController} decides by these windows. The retry budget, hedging, slow start
 * and placement use the totals.
 */
final class TrafficStatistics {
  /**
   * The number of latency samples that a decision needs. With fewer, even a steady rate could not
   * be limited, because the first requests of every window would be admitted.
   */
  static final int MIN_SAMPLES = 10;

  /** How many window lengths the windows of the fleet and of the quota groups retain. */
  private static final int LOOKBACK_WINDOWS = 5;

  /**
   * Bounds the memory when most keys are new, to some 10 MB; the least recently used window is
   * evicted.
   */
  static final int MAX_TRACKED_WINDOWS = 10_000;

  private final long windowNanos;
  private final SlidingWindow fleet;
  private final SlidingWindow withinQuota;
  private final SlidingWindow overQuota;

  /** The windows of keys and of classes and tenants by name, least recently used first. */
  private final Map<String, SlidingWindow> windows = new LinkedHashMap<>(64, 0.75f, true);

  /**
   * Creates statistics without traffic.
   *
   * @param windowNanos the length of each sliding window
   */
  TrafficStatistics(long windowNanos) {
    this.windowNanos = windowNanos;
    fleet = new SlidingWindow(windowNanos, LOOKBACK_WINDOWS, 0);
    withinQuota = new SlidingWindow(windowNanos, LOOKBACK_WINDOWS, 0);
    overQuota = new SlidingWindow(windowNanos, LOOKBACK_WINDOWS, 0);
  }

  /**
   * Returns the windows that count a request, creating those that do not exist yet.
   *
   * @param isOverQuota whether the request is over its tenant's quota
   */
  TrafficWindows windowsOf(RequestArrived request, boolean isOverQuota, long nowNanos) {
    String name = request.className() + ' ' + request.tenant() + (isOverQuota ? " over" : "");
    SlidingWindow classAndTenant = windowNamed(name, nowNanos);
    SlidingWindow key = windowNamed(name + ' ' + request.affinityKey(), nowNanos);
    return new TrafficWindows(
        isOverQuota, isOverQuota ? overQuota : withinQuota, classAndTenant, key);
  }

  /**
   * Returns the window of this name. Evicts the least recently used windows while they are empty or
   * too many are tracked.
   */
  private SlidingWindow windowNamed(String name, long nowNanos) {
    SlidingWindow window =
        windows.computeIfAbsent(name, absent -> new SlidingWindow(windowNanos, nowNanos));
    Iterator<SlidingWindow> leastRecentlyUsed = windows.values().iterator();
    SlidingWindow eldest = leastRecentlyUsed.next();
    while (eldest != window && (eldest.isEmpty(nowNanos) || windows.size() > MAX_TRACKED_WINDOWS)) {
      leastRecentlyUsed.remove();
      eldest = leastRecentlyUsed.next();
    }
    return window;
  }

  /** Adds an amount to a metric in each window of a request and in the fleet's. */
  void count(TrafficWindows requestWindows, Metric metric, double amount, long nowNanos) {
    requestWindows.key().add(nowNanos, metric, amount);
    requestWindows.classAndTenant().add(nowNanos, metric, amount);
    requestWindows.quotaGroup().add(nowNanos, metric, amount);
    fleet.add(nowNanos, metric, amount);
  }

  /** Adds one latency sample, in multiples of the request's latency objective. */
  void addSample(TrafficWindows requestWindows, double latencyInObjectives, long nowNanos) {
    count(requestWindows, Metric.SAMPLES, 1, nowNanos);
    count(requestWindows, Metric.LATENCY, latencyInObjectives, nowNanos);
  }

  /** The total of a metric over the last window of all traffic. */
  double fleetTotal(Metric metric, long nowNanos) {
    return fleet.total(nowNanos, metric);
  }

  /** The mean latency of all traffic, in latency objectives; 0 without samples. */
  double fleetMean(long nowNanos) {
    return fleet.mean(nowNanos, MIN_SAMPLES);
  }

  /** Whether the mean latency of all traffic is low enough to admit all requests. */
  boolean isFleetHealthy(long nowNanos) {
    return fleetMean(nowNanos) <= LatencyRateLimiter.HEALTHY_LATENCY_IN_OBJECTIVES;
  }

  /** The length of each sliding window. */
  long windowNanos() {
    return windowNanos;
  }

  /** The number of windows of keys and of classes and tenants. */
  int trackedWindows() {
    return windows.size();
  }
}
