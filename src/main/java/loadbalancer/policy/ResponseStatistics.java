package loadbalancer.policy;

import loadbalancer.policy.SlidingWindow.Metric;

/**
 * What an endpoint's served attempts showed over the last window: their latencies, their latency
 * objectives and the time that they spent queueing in this process. {@link ConcurrencyLimit} and
 * {@link OutlierDetector} decide by it.
 */
final class ResponseStatistics {
  private static final double NANOS_PER_SECOND = 1e9;

  private final SlidingWindow window;
  private long firstServedNanos;

  /** Statistics of an endpoint that has not served anything. */
  ResponseStatistics(long windowNanos, long nowNanos) {
    window = new SlidingWindow(windowNanos, nowNanos);
  }

  /**
   * Counts a served attempt.
   *
   * @param latencyNanos from forwarding to the response
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

  /** When the endpoint first served an attempt; 0 for never. */
  long firstServedNanos() {
    return firstServedNanos;
  }

  /** The number of attempts served. */
  double served(long nowNanos) {
    return window.total(nowNanos, Metric.SAMPLES);
  }

  /** The sum of the served attempts' loads, each times its latency objective in seconds. */
  double objectiveSeconds(long nowNanos) {
    return window.total(nowNanos, Metric.OBJECTIVE);
  }

  /** The sum of the served attempts' local delays, each times the attempt's load. */
  double localDelayNanos(long nowNanos) {
    return window.total(nowNanos, Metric.LOCAL_DELAY);
  }

  /** The mean latency of a served attempt; 0 for none. */
  double meanLatencyNanos(long nowNanos) {
    return window.mean(nowNanos, 1);
  }

  /** The mean local delay of a served attempt. */
  double meanLocalDelayNanos(long nowNanos) {
    return localDelayNanos(nowNanos) / Math.max(1, served(nowNanos));
  }
}
