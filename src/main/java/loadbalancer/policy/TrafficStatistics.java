package loadbalancer.policy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.policy.SlidingWindow.Metric;
import loadbalancer.policy.event.RequestArrived;

/**
 * The sliding windows that traffic is counted in: for each key, for each class and tenant, for all
 * work inside and all work over quotas, and for the whole fleet. Latencies are counted in parts of
 * the request's latency objective, so that classes can share a window.
 *
 * <p>{@link AdmissionController} decides by these windows; the retry budget, hedging, slow start
 * and placement read the totals.
 */
final class TrafficStatistics {
  /**
   * A window with fewer samples is no base for a decision. It could not even hold a steady rate:
   * the first requests of every window would pass.
   */
  static final int MIN_SAMPLES = 10;

  private static final int LOOKBACK_WINDOWS = 5;

  /** Bounds the memory where most keys are new; the least recently used window is dropped. */
  private static final int MAX_TRACKED_WINDOWS = 20_000;

  private final long windowNanos;
  private final SlidingWindow fleet;
  private final SlidingWindow withinQuota;
  private final SlidingWindow overQuota;

  /** By name, in the order of their last use. */
  private final Map<String, SlidingWindow> windows = new LinkedHashMap<>(64, 0.75f, true);

  /** Statistics without traffic. */
  TrafficStatistics(long windowNanos) {
    this.windowNanos = windowNanos;
    fleet = new SlidingWindow(windowNanos, LOOKBACK_WINDOWS, 0);
    withinQuota = new SlidingWindow(windowNanos, LOOKBACK_WINDOWS, 0);
    overQuota = new SlidingWindow(windowNanos, LOOKBACK_WINDOWS, 0);
  }

  /** The windows that count a request. */
  TrafficWindows windowsOf(RequestArrived request, boolean isOverQuota, long nowNanos) {
    String name = request.className() + ' ' + request.tenant() + (isOverQuota ? " over" : "");
    SlidingWindow classAndTenant = windowNamed(name, nowNanos);
    SlidingWindow key = windowNamed(name + ' ' + request.key(), nowNanos);
    return new TrafficWindows(
        isOverQuota, isOverQuota ? overQuota : withinQuota, classAndTenant, key);
  }

  /** Also drops least recently used windows that hold nothing any more, or are too many. */
  private SlidingWindow windowNamed(String name, long nowNanos) {
    SlidingWindow window =
        windows.computeIfAbsent(name, absent -> new SlidingWindow(windowNanos, nowNanos));
    Iterator<SlidingWindow> leastRecentlyUsed = windows.values().iterator();
    SlidingWindow oldest = leastRecentlyUsed.next();
    while (oldest != window && (oldest.isEmpty(nowNanos) || windows.size() > MAX_TRACKED_WINDOWS)) {
      leastRecentlyUsed.remove();
      oldest = leastRecentlyUsed.next();
    }
    return window;
  }

  /** Counts an amount in each of a request's windows and for the fleet. */
  void count(TrafficWindows of, Metric metric, double amount, long nowNanos) {
    of.key().add(nowNanos, metric, amount);
    of.classAndTenant().add(nowNanos, metric, amount);
    of.quotaGroup().add(nowNanos, metric, amount);
    fleet.add(nowNanos, metric, amount);
  }

  /** Adds one latency sample, in latency objectives. */
  void addSample(TrafficWindows of, double latencyInObjectives, long nowNanos) {
    count(of, Metric.SAMPLES, 1, nowNanos);
    count(of, Metric.LATENCY, latencyInObjectives, nowNanos);
  }

  /** The total of a metric over the last window, of all traffic. */
  double fleetTotal(Metric metric, long nowNanos) {
    return fleet.total(nowNanos, metric);
  }

  /** The mean latency of all traffic, in latency objectives. */
  double fleetMean(long nowNanos) {
    return fleet.mean(nowNanos, MIN_SAMPLES);
  }

  /** Whether the mean latency of all traffic is no reason to reject anything. */
  boolean isFleetHealthy(long nowNanos) {
    return fleetMean(nowNanos) <= LatencyRateLimiter.HEALTHY_LATENCY_IN_OBJECTIVES;
  }

  /** The length of the windows. */
  long windowNanos() {
    return windowNanos;
  }

  /** How many windows are tracked by name. */
  int trackedWindows() {
    return windows.size();
  }
}
