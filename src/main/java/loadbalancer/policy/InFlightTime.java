package loadbalancer.policy;

import loadbalancer.policy.SlidingWindow.Metric;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.settings.RequestClass;

/**
 * The total time that attempts were in flight during the last ten seconds, per endpoint and for the
 * fleet. Divided by the average latency of an attempt, it gives the number of recent attempts.
 *
 * <p>When many balancers share the traffic, each has hardly one attempt in flight, so the present
 * number of attempts in flight says little about an endpoint's load. {@link LoadBound} then bounds
 * the recent attempts too. {@link KeySpread} and {@link AdmissionController} ask whether traffic is
 * that sparse. The expected latency of an attempt is added when it starts, and the difference to
 * its real latency when it completes.
 */
final class InFlightTime {
  private static final long WINDOW_NANOS = 10_000_000_000L;

  /** Traffic is sparse if an endpoint has fewer attempts than this in flight on average. */
  private static final double SPARSE_IN_FLIGHT_PER_ENDPOINT = 0.12;

  /**
   * The minimum time added for an attempt that was not served, in latency objectives. It relieves
   * an overloaded endpoint and keeps a failing one from looking idle.
   */
  private static final double MIN_FAILURE_TIME_IN_OBJECTIVES = 4;

  private static final double SMOOTHING_FACTOR = 0.005;

  private final SlidingWindow fleet = newWindow(0);
  private double smoothedLatencyNanos;

  /**
   * Creates empty windows.
   *
   * @param initialLatencyNanos the average latency to assume before any attempt was served
   */
  InFlightTime(double initialLatencyNanos) {
    smoothedLatencyNanos = initialLatencyNanos;
  }

  private static SlidingWindow newWindow(long nowNanos) {
    return new SlidingWindow(WINDOW_NANOS, nowNanos);
  }

  /**
   * Adds the expected latency of an attempt that starts now: the average latency times its load.
   *
   * @param load the request's load, in average requests
   * @return the expected latency in nanoseconds, to be kept in {@link Attempt#expectedLatencyNanos}
   */
  double attemptStarted(Endpoint endpoint, double load, long nowNanos) {
    double expectedLatencyNanos = smoothedLatencyNanos * load;
    if (endpoint.inFlightTime == null) {
      endpoint.inFlightTime = newWindow(nowNanos);
    }
    endpoint.inFlightTime.add(nowNanos, Metric.LATENCY, expectedLatencyNanos);
    fleet.add(nowNanos, Metric.LATENCY, expectedLatencyNanos);
    return expectedLatencyNanos;
  }

  /**
   * Replaces the expected latency of a completed attempt with its real one. An attempt that was not
   * served counts with at least a minimum time, unless it found a stale connection.
   */
  void attemptCompleted(
      Attempt attempt, RequestClass requestClass, AttemptCompleted completed, long nowNanos) {
    double minNanos = 0;
    if (completed.status() != AttemptStatus.SERVED && !completed.foundStaleConnection()) {
      minNanos = MIN_FAILURE_TIME_IN_OBJECTIVES * requestClass.latencyObjectiveNanos();
    }
    double differenceNanos =
        Math.max(minNanos, (double) completed.latencyNanos()) - attempt.expectedLatencyNanos;
    attempt.endpoint.inFlightTime.add(nowNanos, Metric.LATENCY, differenceNanos);
    fleet.add(nowNanos, Metric.LATENCY, differenceNanos);
  }

  /** Updates the average latency with that of a served attempt. */
  void recordLatency(long latencyNanos) {
    smoothedLatencyNanos += (latencyNanos - smoothedLatencyNanos) * SMOOTHING_FACTOR;
  }

  /** The recent attempts of all endpoints: their time in flight, in average latencies. */
  double recentAttempts(long nowNanos) {
    return fleet.total(nowNanos, Metric.LATENCY) / smoothedLatencyNanos;
  }

  /** The recent attempts of one endpoint: their time in flight, in average latencies. */
  double recentAttempts(Endpoint endpoint, long nowNanos) {
    if (endpoint.inFlightTime == null) {
      return 0;
    }
    return endpoint.inFlightTime.total(nowNanos, Metric.LATENCY) / smoothedLatencyNanos;
  }

  /**
   * Whether so few attempts are in flight per ready endpoint that their present number says little
   * about the load.
   */
  boolean isTrafficSparse(int readyEndpoints, long nowNanos) {
    return fleet.total(nowNanos, Metric.LATENCY)
        < SPARSE_IN_FLIGHT_PER_ENDPOINT * readyEndpoints * WINDOW_NANOS;
  }
}
