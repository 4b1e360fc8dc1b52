package loadbalancer.policy;

import loadbalancer.policy.SlidingWindow.Metric;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.settings.RequestClass;

/**
 * The time that attempts were in flight over the last ten seconds, for each endpoint and for all
 * together.
 *
 * <p>The number of attempts in flight at this moment says little where many balancers share the
 * traffic and each has hardly one of them: there, {@link LoadBound} and {@link KeySpread} also go
 * by this history. An attempt is charged the smoothed latency when it starts, and the difference to
 * its real latency when it completes.
 */
final class InFlightTime {
  private static final long HISTORY_NANOS = 10_000_000_000L;

  /** Mean of attempts in flight for each endpoint below which the present count says little. */
  private static final double SPARSE_IN_FLIGHT_PER_ENDPOINT = 0.12;

  /**
   * What a failed or rejected attempt is charged at least: an overloaded endpoint rests, and a
   * failing one does not look idle.
   */
  private static final double FAILURE_CHARGE_IN_OBJECTIVES = 4;

  private static final double SMOOTHING_FACTOR = 0.005;

  private final SlidingWindow fleet = newWindow(0);
  private double smoothedLatencyNanos;

  /** Starts with an assumed latency. */
  InFlightTime(double initialLatencyNanos) {
    smoothedLatencyNanos = initialLatencyNanos;
  }

  /** An empty history for one endpoint. */
  static SlidingWindow newWindow(long nowNanos) {
    return new SlidingWindow(HISTORY_NANOS, nowNanos);
  }

  /**
   * Charges an attempt that starts now with its expected time in flight.
   *
   * @param load the request's load, in average requests
   * @return what was charged, in nanoseconds
   */
  double charge(Endpoint endpoint, double load, long nowNanos) {
    double chargedNanos = smoothedLatencyNanos * load;
    endpoint.inFlightTime.add(nowNanos, Metric.LATENCY, chargedNanos);
    fleet.add(nowNanos, Metric.LATENCY, chargedNanos);
    return chargedNanos;
  }

  /** Replaces the charge of an attempt that completed by the time that counts for it. */
  void settle(
      Attempt attempt, RequestClass requestClass, AttemptCompleted completed, long nowNanos) {
    double minNanos = 0;
    if (completed.status() != AttemptStatus.SERVED && !completed.foundStaleConnection()) {
      minNanos = FAILURE_CHARGE_IN_OBJECTIVES * requestClass.latencyObjectiveNanos();
    }
    double differenceNanos =
        Math.max(minNanos, (double) completed.latencyNanos()) - attempt.chargedNanos;
    attempt.endpoint.inFlightTime.add(nowNanos, Metric.LATENCY, differenceNanos);
    fleet.add(nowNanos, Metric.LATENCY, differenceNanos);
  }

  /** Adds the latency of a served attempt to the moving average. */
  void recordLatency(long latencyNanos) {
    smoothedLatencyNanos += (latencyNanos - smoothedLatencyNanos) * SMOOTHING_FACTOR;
  }

  /** The history of all endpoints, in attempts of average latency. */
  double recentAttempts(long nowNanos) {
    return fleet.total(nowNanos, Metric.LATENCY) / smoothedLatencyNanos;
  }

  /** The history of one endpoint, in attempts of average latency. */
  double recentAttempts(Endpoint endpoint, long nowNanos) {
    return endpoint.inFlightTime.total(nowNanos, Metric.LATENCY) / smoothedLatencyNanos;
  }

  /** Whether so little is in flight for each ready endpoint that the history has to count. */
  boolean isTrafficSparse(int readyEndpoints, long nowNanos) {
    return fleet.total(nowNanos, Metric.LATENCY)
        < SPARSE_IN_FLIGHT_PER_ENDPOINT * readyEndpoints * HISTORY_NANOS;
  }
}
