package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * Outlier detection: takes endpoints that fail, or stop responding, out of the placement, in the
 * terms of Envoy's documentation.
 *
 * <ul>
 *   <li>Ejection: consecutive failures eject an endpoint for a time that doubles with each ejection
 *       in a row.
 *   <li>Half-open trial, as in a circuit breaker: after its ejection, an endpoint gets one attempt;
 *       the next one is forwarded when that has completed.
 *   <li>Unresponsive: nothing was heard from an endpoint for much longer than its responses usually
 *       lie apart; seen before the first time-out.
 *   <li>Panic threshold: with too many ready endpoints out, all are used, as failures of so many
 *       have another cause or no remedy.
 * </ul>
 *
 * <p>{@link BoundedLoadPlacement} asks it for each endpoint, {@link HedgingPolicy} for one that a
 * request waits for.
 */
final class OutlierDetector {
  private static final int CONSECUTIVE_FAILURES = 3;
  private static final long BASE_EJECTION_NANOS = 500_000_000L;
  private static final long MAX_EJECTION_NANOS = 8_000_000_000L;

  /** Far enough to reach the longest ejection, and too small to overflow. */
  private static final int MAX_EJECTION_DOUBLINGS = 10;

  private static final double PANIC_THRESHOLD = 0.5;

  /** Unresponsive: silent for this many of the mean gaps between its responses... */
  private static final double UNRESPONSIVE_GAPS = 8;

  /** ...and at least for this fraction of the shortest latency objective... */
  private static final double MIN_SILENCE_IN_OBJECTIVES = 0.3;

  /** ...and this many mean local delays more, since a slow process pauses unevenly. */
  private static final double LOCAL_DELAY_ALLOWANCE = 2;

  private final EndpointRegistry registry;
  private final SplittableRandom random;
  private final double minSilenceNanos;
  private boolean isPanic;

  /** What the detector knows of one endpoint. */
  static final class State {
    private long lastHeardNanos;
    private int consecutiveFailures;
    private int ejections;
    private long ejectedUntilNanos;
    private boolean isHalfOpenTrial;

    /** Forgets failures and ejections, as the endpoint restarted. */
    void reset() {
      consecutiveFailures = 0;
      ejections = 0;
      ejectedUntilNanos = 0;
    }
  }

  /**
   * A detector that has seen nothing.
   *
   * @param random the policy's source of randomness
   */
  OutlierDetector(
      EndpointRegistry registry, LatencyObjectives objectives, SplittableRandom random) {
    this.registry = registry;
    this.random = random;
    minSilenceNanos = MIN_SILENCE_IN_OBJECTIVES * objectives.shortestNanos();
  }

  /** Whether requests may be forwarded to the endpoint. */
  boolean isUsable(Endpoint endpoint, long nowNanos) {
    return isPanic
        || (!isEjected(endpoint, nowNanos)
            && !endpoint.outlierState.isHalfOpenTrial
            && !isUnresponsive(endpoint, nowNanos));
  }

  /**
   * Whether the endpoint has attempts in flight and has been silent for far longer than usual. Time
   * that attempts wait in this process is this process's silence; so where it is slow, an endpoint
   * that dies is noticed later.
   */
  boolean isUnresponsive(Endpoint endpoint, long nowNanos) {
    double meanGapNanos =
        endpoint.responses.meanLatencyNanos(nowNanos) / Math.max(1, endpoint.inFlight());
    double localDelayNanos = endpoint.responses.meanLocalDelayNanos(nowNanos);
    return endpoint.inFlight() > 0
        && meanGapNanos > 0
        && nowNanos - endpoint.outlierState.lastHeardNanos
            > Math.max(UNRESPONSIVE_GAPS * meanGapNanos, minSilenceNanos)
                + LOCAL_DELAY_ALLOWANCE * localDelayNanos;
  }

  private static boolean isEjected(Endpoint endpoint, long nowNanos) {
    return endpoint.outlierState.ejectedUntilNanos > nowNanos;
  }

  /** Notes an attempt that is about to start; to be called before it counts as in flight. */
  void beforeAttempt(Endpoint endpoint, long nowNanos) {
    State state = endpoint.outlierState;
    if (endpoint.inFlight() == 0) {
      state.lastHeardNanos = nowNanos;
    }
    state.isHalfOpenTrial = state.ejections > 0;
  }

  /** Notes that an attempt completed, in whatever way. */
  void attemptCompleted(Endpoint endpoint, long nowNanos) {
    endpoint.outlierState.lastHeardNanos = nowNanos;
    endpoint.outlierState.isHalfOpenTrial = false;
  }

  /** Counts an attempt that the endpoint served. */
  void recordSuccess(Endpoint endpoint) {
    endpoint.outlierState.consecutiveFailures = 0;
    endpoint.outlierState.ejections = 0;
  }

  /** Counts an attempt that failed or that the endpoint rejected. */
  void recordFailure(Endpoint endpoint, long nowNanos) {
    State state = endpoint.outlierState;
    state.consecutiveFailures++;
    if (state.consecutiveFailures >= CONSECUTIVE_FAILURES && !isEjected(endpoint, nowNanos)) {
      long ejectionNanos =
          Math.min(
              MAX_EJECTION_NANOS,
              BASE_EJECTION_NANOS << Math.min(state.ejections, MAX_EJECTION_DOUBLINGS));
      state.ejections++;
      // Jitter, so that balancers do not return to the endpoint at once.
      state.ejectedUntilNanos = nowNanos + (long) (ejectionNanos * (0.5 + random.nextDouble() / 2));
    }
  }

  /** Compares the ready endpoints that are out with the panic threshold. */
  void updatePanic(long nowNanos) {
    int out = 0;
    for (Endpoint endpoint : registry.endpoints()) {
      if (endpoint.isReady()
          && (isEjected(endpoint, nowNanos) || isUnresponsive(endpoint, nowNanos))) {
        out++;
      }
    }
    isPanic = out > PANIC_THRESHOLD * registry.readyCount();
  }
}
