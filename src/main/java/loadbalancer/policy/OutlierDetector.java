package loadbalancer.policy;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Outlier detection: excludes endpoints that fail or stop responding from placement. The terms are
 * those of Envoy's documentation.
 *
 * <ul>
 *   <li>Ejection: consecutive failures eject an endpoint for a time that doubles with each
 *       consecutive ejection.
 *   <li>Half-open trial, as in a circuit breaker: after its ejection, an endpoint gets one attempt
 *       at a time until one is served or it is ejected again.
 *   <li>Unresponsive: an endpoint with attempts in flight has been silent for much longer than the
 *       usual interval between its responses. This is detected before the first attempt times out.
 *   <li>Panic threshold: if too many ready endpoints are ejected or unresponsive, all are used.
 *       Failures of so many are caused elsewhere or cannot be avoided.
 * </ul>
 *
 * <p>{@link BoundedLoadPlacement} queries it for each endpoint that it considers, {@link
 * HedgingPolicy} for the endpoint of an attempt in flight.
 */
final class OutlierDetector {
  private static final int CONSECUTIVE_FAILURES = 3;
  private static final long BASE_EJECTION_NANOS = 500_000_000L;
  private static final long MAX_EJECTION_NANOS = 8_000_000_000L;

  /** Enough doublings to reach {@link #MAX_EJECTION_NANOS}, and too few to overflow. */
  private static final int MAX_EJECTION_DOUBLINGS = 10;

  /** All are used if more than this fraction of ready endpoints is ejected or unresponsive. */
  private static final double PANIC_THRESHOLD = 0.5;

  /** An unresponsive endpoint has been silent for this many mean response intervals... */
  private static final double UNRESPONSIVE_INTERVALS = 8;

  /** ...and for at least this fraction of the shortest latency objective... */
  private static final double MIN_SILENCE_IN_OBJECTIVES = 0.3;

  /** ...plus this many mean local delays, since the pauses of a slow process vary in length. */
  private static final double LOCAL_DELAY_ALLOWANCE = 2;

  private final EndpointRegistry registry;
  private final SplittableRandom random;
  private final double minSilenceNanos;

  /** The endpoints whose ejection had not ended when they were last counted. */
  private final Set<Endpoint> ejectedEndpoints = new HashSet<>();

  private boolean isPanicMode;

  /** The outlier detection state of one endpoint. */
  static final class State {
    private long lastActivityNanos;
    private int consecutiveFailures;
    private int consecutiveEjections;
    private long ejectedUntilNanos;
    private boolean isHalfOpenTrial;

    /** Clears failures and ejections, since the endpoint has restarted. */
    void reset() {
      consecutiveFailures = 0;
      consecutiveEjections = 0;
      ejectedUntilNanos = 0;
    }
  }

  /**
   * Creates a detector that has ejected no endpoint.
   *
   * @param random the policy's source of randomness
   */
  OutlierDetector(
      EndpointRegistry registry, LatencyObjectives objectives, SplittableRandom random) {
    this.registry = registry;
    this.random = random;
    minSilenceNanos = MIN_SILENCE_IN_OBJECTIVES * objectives.shortestNanos();
  }

  /** Whether attempts may be forwarded to the endpoint. */
  boolean isUsable(Endpoint endpoint, long nowNanos) {
    return isPanicMode
        || (!isEjected(endpoint, nowNanos)
            && !endpoint.outlierState.isHalfOpenTrial
            && !isUnresponsive(endpoint, nowNanos));
  }

  /**
   * Whether the endpoint has attempts in flight and has been silent for far longer than usual.
   * Local delay (see {@link ResponseStatistics}) does not count as silence of the endpoint, so a
   * slow balancer detects a dead endpoint later.
   */
  boolean isUnresponsive(Endpoint endpoint, long nowNanos) {
    double meanIntervalNanos =
        endpoint.responses.meanLatencyNanos(nowNanos) / Math.max(1, endpoint.inFlight());
    double localDelayNanos = endpoint.responses.meanLocalDelayNanos(nowNanos);
    return endpoint.inFlight() > 0
        && meanIntervalNanos > 0
        && nowNanos - endpoint.outlierState.lastActivityNanos
            > Math.max(UNRESPONSIVE_INTERVALS * meanIntervalNanos, minSilenceNanos)
                + LOCAL_DELAY_ALLOWANCE * localDelayNanos;
  }

  /** Whether the endpoint is ejected at present. */
  static boolean isEjected(Endpoint endpoint, long nowNanos) {
    return endpoint.outlierState.ejectedUntilNanos > nowNanos;
  }

  /**
   * Records that an attempt starts; to be called before {@link EndpointRegistry#attemptStarted},
   * which counts it as in flight.
   */
  void attemptStarted(Endpoint endpoint, long nowNanos) {
    State state = endpoint.outlierState;
    if (endpoint.inFlight() == 0) {
      state.lastActivityNanos = nowNanos;
    }
    state.isHalfOpenTrial = state.consecutiveEjections > 0;
  }

  /** Records that an attempt completed, with any status. */
  void attemptCompleted(Endpoint endpoint, long nowNanos) {
    endpoint.outlierState.lastActivityNanos = nowNanos;
    endpoint.outlierState.isHalfOpenTrial = false;
  }

  /** Records an attempt that the endpoint served; ends its consecutive failures and ejections. */
  void recordSuccess(Endpoint endpoint) {
    endpoint.outlierState.consecutiveFailures = 0;
    endpoint.outlierState.consecutiveEjections = 0;
  }

  /**
   * Records an attempt that failed or was rejected; ejects the endpoint after too many in a row.
   */
  void recordFailure(Endpoint endpoint, long nowNanos) {
    State state = endpoint.outlierState;
    state.consecutiveFailures++;
    if (state.consecutiveFailures >= CONSECUTIVE_FAILURES && !isEjected(endpoint, nowNanos)) {
      long ejectionNanos =
          Math.min(
              MAX_EJECTION_NANOS,
              BASE_EJECTION_NANOS << Math.min(state.consecutiveEjections, MAX_EJECTION_DOUBLINGS));
      state.consecutiveEjections++;
      // Jitter, so that the balancers do not all return to the endpoint at the same time.
      state.ejectedUntilNanos = nowNanos + (long) (ejectionNanos * (0.5 + random.nextDouble() / 2));
      ejectedEndpoints.add(endpoint);
    }
  }

  /** Checks the number of ejected or unresponsive ready endpoints against the panic threshold. */
  void updatePanic(long nowNanos) {
    isPanicMode = countUnusable(nowNanos) > PANIC_THRESHOLD * registry.readyCount();
  }

  /**
   * Counts the ready endpoints that are ejected or unresponsive, in time proportional to the
   * endpoints that are ejected or have attempts in flight.
   */
  int countUnusable(long nowNanos) {
    ejectedEndpoints.removeIf(endpoint -> !isEjected(endpoint, nowNanos));
    int unusable = 0;
    for (Endpoint endpoint : ejectedEndpoints) {
      unusable += endpoint.isReady() ? 1 : 0;
    }
    for (Endpoint endpoint : registry.inFlightEndpoints()) {
      if (endpoint.isReady()
          && !isEjected(endpoint, nowNanos)
          && isUnresponsive(endpoint, nowNanos)) {
        unusable++;
      }
    }
    return unusable;
  }
}
