package loadbalancer.policy;

import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;

/**
 * Records completed attempts in the statistics, the moving averages and the outlier detection.
 *
 * <p>A latency sample is the time since the request's arrival, as a multiple of its latency
 * objective. Local delay, the time that an attempt waited in this process, is subtracted because
 * the endpoint does not cause it.
 */
final class AttemptRecorder {
  /** Local delays up to this many clock ticks count as rounding errors of the clock. */
  private static final int CLOCK_ROUNDING_TICKS = 3;

  /** The smallest latency sample of a reset: the objective counts as missed. */
  private static final double MIN_RESET_LATENCY_IN_OBJECTIVES = 1;

  private final TrafficStatistics traffic;
  private final InFlightTime inFlightTime;
  private final OutlierDetector outlierDetector;
  private final long clockRoundingNanos;

  /**
   * Creates a recorder.
   *
   * @param clockResolutionNanos the resolution of the balancer's clock
   */
  AttemptRecorder(
      TrafficStatistics traffic,
      InFlightTime inFlightTime,
      OutlierDetector outlierDetector,
      long clockResolutionNanos) {
    this.traffic = traffic;
    this.inFlightTime = inFlightTime;
    this.outlierDetector = outlierDetector;
    clockRoundingNanos = CLOCK_ROUNDING_TICKS * clockResolutionNanos;
  }

  /** Records an attempt that completed now. */
  void record(PendingRequest pending, Attempt attempt, AttemptCompleted completed, long nowNanos) {
    if (completed.status() == AttemptStatus.SERVED) {
      recordServed(pending, attempt, completed, nowNanos);
    } else if (completed.foundStaleConnection()) {
      // Not a failure of the endpoint: pooled connections break together, so a few in a row would
      // eject a healthy endpoint. After a crash, the next connects are refused and do count.
      long localDelayNanos = localDelayNanos(attempt, completed, nowNanos);
      addSample(pending, latencyInObjectives(pending, localDelayNanos, nowNanos), nowNanos);
    } else if (countsAsFailure(completed.status())) {
      recordFailed(pending, attempt, completed.status(), nowNanos);
    }
  }

  private void recordServed(
      PendingRequest pending, Attempt attempt, AttemptCompleted completed, long nowNanos) {
    long localDelayNanos = localDelayNanos(attempt, completed, nowNanos);
    outlierDetector.recordSuccess(attempt.endpoint);
    attempt.endpoint.responses.record(pending, completed.latencyNanos(), localDelayNanos, nowNanos);
    addSample(pending, latencyInObjectives(pending, localDelayNanos, nowNanos), nowNanos);
    inFlightTime.recordLatency(completed.latencyNanos());
  }

  private static boolean countsAsFailure(AttemptStatus status) {
    return status != AttemptStatus.CANCELLED && status != AttemptStatus.NOT_SENT;
  }

  /**
   * Records a failed attempt. A rejection is no latency sample, but counts for outlier detection:
   * an endpoint that rejects everything has nothing in flight, so bounded load would prefer it.
   */
  private void recordFailed(
      PendingRequest pending, Attempt attempt, AttemptStatus status, long nowNanos) {
    double latency = latencyInObjectives(pending, 0, nowNanos);
    if (status == AttemptStatus.RESET) {
      // A larger sample would make broken connections look like an overload.
      addSample(pending, Math.max(MIN_RESET_LATENCY_IN_OBJECTIVES, latency), nowNanos);
    } else if (status == AttemptStatus.ERROR) {
      addSample(
          pending, Math.max(LatencyRateLimiter.CRITICAL_LATENCY_IN_OBJECTIVES, latency), nowNanos);
    } else if (status == AttemptStatus.TIMEOUT) {
      // The time that the client allowed. With the class's deadline, which is longer, lost attempts
      // would look like an overload, though rejecting requests does not prevent them.
      addSample(pending, latency, nowNanos);
    }
    outlierDetector.recordFailure(attempt.endpoint, nowNanos);
  }

  private void addSample(PendingRequest pending, double latencyInObjectives, long nowNanos) {
    traffic.addSample(pending.windows, latencyInObjectives, nowNanos);
  }

  private static double latencyInObjectives(
      PendingRequest pending, long localDelayNanos, long nowNanos) {
    return (double) (nowNanos - pending.arrivedAtNanos - localDelayNanos)
        / pending.requestClass.latencyObjectiveNanos();
  }

  /**
   * Returns the time since forwarding that is not part of the attempt's latency; 0 if within the
   * clock's rounding error.
   */
  private long localDelayNanos(Attempt attempt, AttemptCompleted completed, long nowNanos) {
    long delayNanos = nowNanos - attempt.forwardedAtNanos - completed.latencyNanos();
    return delayNanos <= clockRoundingNanos ? 0 : delayNanos;
  }
}
