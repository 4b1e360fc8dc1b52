package loadbalancer.policy;

import loadbalancer.policy.SlidingWindow.Metric;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.settings.RequestClass;

/**
 * History of the time that attempts were in flight during the last ten seconds, per endpoint and in
 * total.
 *
 * <p>When many balancers share the traffic, each has hardly one attempt in flight, so the present
 * number of attempts in flight says little about an endpoint's load. {@link LoadBound} and {@link
 * KeySpread} then use this history too. An attempt is charged the average latency when it starts,
 * and the difference to its real latency when it completes.
 */
final class InFlightTime {
  private static final long HISTORY_NANOS = 10_000_000_000L;

  /** Traffic is sparse if an endpoint has fewer attempts than this in flight on average. */
  private static final double SPARSE_IN_FLIGHT_PER_ENDPOINT = 0.12;

  /**
   * The minimum charge of an attempt that was not served, in latency objectives. It relieves an
   * overloaded endpoint and keeps a failing one from looking idle.
   */
  private static final double MIN_FAILURE_CHARGE_IN_OBJECTIVES = 4;

  private static final double SMOOTHING_FACTOR = 0.005;

  private final SlidingWindow fleet = newWindow(0);
  private double smoothedLatencyNanos;

  /**
   * Creates an empty history.
   *
   * @param initialLatencyNanos the average latency to assume before any attempt was served
   */
  InFlightTime(double initialLatencyNanos) {
    smoothedLatencyNanos = initialLatencyNanos;
  }

  /** Creates an empty history for one endpoint, to be kept in {@link Endpoint#inFlightTime}. */
  static SlidingWindow newWindow(long nowNanos) {
    return new SlidingWindow(HISTORY_NANOS, nowNanos);
  }

  /**
   * Charges the endpoint with the expected time in flight of an attempt that starts now.
   *
   * @param load the request's load, in average requests
   * @return the charged time in nanoseconds
   */
  double charge(Endpoint endpoint, double load, long nowNanos) {
    double chargedNanos = smoothedLatencyNanos * load;
    endpoint.inFlightTime.add(nowNanos, Metric.LATENCY, chargedNanos);
    fleet.add(nowNanos, Metric.LATENCY, chargedNanos);
    return chargedNanos;
  }

  /**
   * Replaces the charge of a completed attempt with its real latency. An attempt that was not
   * served is charged at least a minimum, unless it found a stale connection.
   */
  void settle(
      Attempt attempt, RequestClass requestClass, AttemptCompleted completed, long nowNanos) {
    double minNanos = 0;
    if (completed.status() != AttemptStatus.SERVED && !completed.foundStaleConnection()) {
      minNanos = MIN_FAILURE_CHARGE_IN_OBJECTIVES * requestClass.latencyObjectiveNanos();
    }
    double differenceNanos =
        Math.max(minNanos, (double) completed.latencyNanos()) - attempt.chargedNanos;
    attempt.endpoint.inFlightTime.add(nowNanos, Metric.LATENCY, differenceNanos);
    fleet.add(nowNanos, Metric.LATENCY, differenceNanos);
  }

  /** Updates the average latency with that of a served attempt. */
  void recordLatency(long latencyNanos) {
    smoothedLatencyNanos += (latencyNanos - smoothedLatencyNanos) * SMOOTHING_FACTOR;
  }

  /** Returns the history of all endpoints, in attempts of average latency. */
  double recentAttempts(long nowNanos) {
    return fleet.total(nowNanos, Metric.LATENCY) / smoothedLatencyNanos;
  }

  /** Returns the history of one endpoint, in attempts of average latency. */
  double recentAttempts(Endpoint endpoint, long nowNanos) {
    return endpoint.inFlightTime.total(nowNanos, Metric.LATENCY) / smoothedLatencyNanos;
  }

  /**
   * Returns whether so few attempts are in flight per ready endpoint that their present number says
   * little about the load.
   */
  boolean isTrafficSparse(int readyEndpoints, long nowNanos) {
    return fleet.total(nowNanos, Metric.LATENCY)
        < SPARSE_IN_FLIGHT_PER_ENDPOINT * readyEndpoints * HISTORY_NANOS;
  }
}
