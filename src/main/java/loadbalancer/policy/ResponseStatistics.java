package loadbalancer.policy;

import loadbalancer.policy.SlidingWindow.Metric;

/**
 * Latencies, latency objectives and local delays of an endpoint's served attempts, over a sliding
 * window. {@link ConcurrencyLimit} and {@link OutlierDetector} use these statistics.
 *
 * <p>The local delay of an attempt is the time that it waited in this process: the time from the
 * decision to forward it until its completion is handled, less its latency. The endpoint does not
 * cause it.
 */
final class ResponseStatistics {
  private static final double NANOS_PER_SECOND = 1e9;

  private final long windowNanos;

  /** Null until an attempt was served, since most of many listed endpoints may never be used. */
  private SlidingWindow window;

  private long firstServedNanos;

  /** Creates the statistics of an endpoint that has not served any attempt yet. */
  ResponseStatistics(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  /**
   * Adds a served attempt.
   *
   * @param latencyNanos the attempt's latency, without the local delay
   * @param localDelayNanos the attempt's local delay
   */
  void record(PendingRequest pending, long latencyNanos, long localDelayNanos, long nowNanos) {
    if (firstServedNanos == 0) {
      firstServedNanos = nowNanos;
    }
    if (window == null) {
      window = new SlidingWindow(windowNanos, nowNanos);
    }
    double load = pending.load;
    window.add(
        nowNanos,
        Metric.OBJECTIVE,
        load * pending.requestClass.latencyObjectiveNanos() / NANOS_PER_SECOND);
    window.add(nowNanos, Metric.SAMPLES, 1);
    window.add(nowNanos, Metric.LATENCY, load * latencyNanos);
    window.add(nowNanos, Metric.LOCAL_DELAY, load * localDelayNanos);
  }

  private double total(long nowNanos, Metric metric) {
    return window == null ? 0 : window.total(nowNanos, metric);
  }

  /** Whether the window exists, which takes most of the memory of these statistics. */
  boolean hasWindow() {
    return window != null;
  }

  /** When the endpoint first served an attempt; 0 if it never did. */
  long firstServedNanos() {
    return firstServedNanos;
  }

  /** The number of attempts served in the last window. */
  double served(long nowNanos) {
    return total(nowNanos, Metric.SAMPLES);
  }

  /** The sum of the served attempts' latency objectives in seconds, weighted by load. */
  double objectiveSeconds(long nowNanos) {
    return total(nowNanos, Metric.OBJECTIVE);
  }

  /** The sum of the served attempts' local delays, weighted by load. */
  double localDelayNanos(long nowNanos) {
    return total(nowNanos, Metric.LOCAL_DELAY);
  }

  /** The mean of load times latency over the served attempts; 0 without any. */
  double meanLatencyNanos(long nowNanos) {
    return window == null ? 0 : window.mean(nowNanos, 1);
  }

  /** The mean of load times local delay over the served attempts; 0 without any. */
  double meanLocalDelayNanos(long nowNanos) {
    return localDelayNanos(nowNanos) / Math.max(1, served(nowNanos));
  }
}
