package loadbalancer.policy;

import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;

/**
 * Feeds the statistics, the moving averages and the outlier detection with completed attempts.
 *
 * <p>Latency samples are in latency objectives, from the request's arrival on, less the local
 * delay: time that an attempt spent in this process says nothing of the endpoint.
 */
final class AttemptRecorder {
  /** Delays up to this many readings of the clock are its rounding. */
  private static final int CLOCK_ROUNDING_TICKS = 3;

  /** A connection reset counts as a missed objective at least. */
  private static final double MIN_RESET_LATENCY_IN_OBJECTIVES = 1;

  private final TrafficStatistics traffic;
  private final InFlightTime inFlightTime;
  private final OutlierDetector outlierDetector;
  private final long clockRoundingNanos;

  /** A recorder for a balancer whose clock has the given resolution. */
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
      // Says nothing of the endpoint: pooled connections break together, and a few in a row would
      // eject a healthy endpoint. After a crash, the connects that follow are refused and count.
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
   * An endpoint that rejects everything has nothing in flight, so bounded load would prefer it: a
   * rejection counts for outlier detection, though it is no latency sample.
   */
  private void recordFailed(
      PendingRequest pending, Attempt attempt, AttemptStatus status, long nowNanos) {
    double latency = latencyInObjectives(pending, 0, nowNanos);
    if (status == AttemptStatus.RESET) {
      // Any more would take broken connections for load.
      addSample(pending, Math.max(MIN_RESET_LATENCY_IN_OBJECTIVES, latency), nowNanos);
    } else if (status == AttemptStatus.ERROR) {
      addSample(
          pending, Math.max(LatencyRateLimiter.CRITICAL_LATENCY_IN_OBJECTIVES, latency), nowNanos);
    } else if (status == AttemptStatus.TIMEOUT) {
      // The time that the client allowed, not its class's deadline, which is longer: losses that
      // rejecting cannot mend would look like an overload.
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

  /** The part of the time since the attempt was forwarded that is not its latency. */
  private long localDelayNanos(Attempt attempt, AttemptCompleted completed, long nowNanos) {
    long delayNanos = nowNanos - attempt.forwardedAtNanos - completed.latencyNanos();
    return delayNanos <= clockRoundingNanos ? 0 : delayNanos;
  }
}
