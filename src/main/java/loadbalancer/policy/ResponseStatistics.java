package loadbalancer.policy;

import loadbalancer.policy.SlidingWindow.Metric;

/**
 * Latencies, latency objectives and local delays of an endpoint's served attempts, over a sliding
 * window. The local delay of an attempt is the time that it waited in this process. {@link
 * ConcurrencyLimit} and {@link OutlierDetector} use these statistics.
 */
final class ResponseStatistics {
  private static final double NANOS_PER_SECOND = 1e9;

  private final SlidingWindow window;
  private long firstServedNanos;

  /** Creates the statistics of an endpoint that has not served any attempt yet. */
  ResponseStatistics(long windowNanos, long nowNanos) {
    window = new SlidingWindow(windowNanos, nowNanos);
  }

  /**
   * Adds a served attempt.
   *
   * @param latencyNanos the time from forwarding the attempt to its response
   * @param localDelayNanos the time that the attempt waited in this process
   */
  void record(PendingRequest pending, long latencyNanos, long localDelayNanos, long nowNanos) {
    if (firstServedNanos == 0) {
      firstServedNanos = nowNanos;
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

  /** Returns when the endpoint first served an attempt; 0 if it never did. */
  long firstServedNanos() {
    return firstServedNanos;
  }

  /** Returns the number of attempts served in the last window. */
  double served(long nowNanos) {
    return window.total(nowNanos, Metric.SAMPLES);
  }

  /** Returns the sum of the served attempts' latency objectives in seconds, weighted by load. */
  double objectiveSeconds(long nowNanos) {
    return window.total(nowNanos, Metric.OBJECTIVE);
  }

  /** Returns the sum of the served attempts' local delays, weighted by load. */
  double localDelayNanos(long nowNanos) {
    return window.total(nowNanos, Metric.LOCAL_DELAY);
  }

  /** Returns the mean of load times latency over the served attempts; 0 without any. */
  double meanLatencyNanos(long nowNanos) {
    return window.mean(nowNanos, 1);
  }

  /** Returns the mean of load times local delay over the served attempts; 0 without any. */
  double meanLocalDelayNanos(long nowNanos) {
    return localDelayNanos(nowNanos) / Math.max(1, served(nowNanos));
  }
}
