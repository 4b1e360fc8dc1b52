package loadbalancer.scale.config;

/**
 * The upstreams of a service, which are all alike.
 *
 * @param count the number of upstreams
 * @param concurrency the number of requests that an upstream serves at once
 * @param queueLimit the number of requests that may wait; further ones are rejected
 * @param meanServiceMs the mean service time of a warm upstream
 * @param serviceTimeSigma the standard deviation of the logarithm of the service time
 * @param failureFraction the fraction of requests that end in an error
 * @param initialCapacityFraction the fraction of its capacity that a restarted upstream starts with
 * @param warmUpSeconds the time after which a restarted upstream has its full capacity
 * @param overloadMultiple the multiple of its present capacity at which a warming upstream is
 *     overloaded
 * @param overloadWindowMs how long the load must stay at that multiple
 */
public record UpstreamSettings(
    int count,
    int concurrency,
    int queueLimit,
    double meanServiceMs,
    double serviceTimeSigma,
    double failureFraction,
    double initialCapacityFraction,
    double warmUpSeconds,
    double overloadMultiple,
    double overloadWindowMs) {

  private static final int MAX_COUNT = 50_000;
  private static final int MAX_CONCURRENCY = 100_000;
  private static final double MIN_SERVICE_MS = 0.001;
  private static final double MAX_SERVICE_MS = 3_600_000;
  private static final double MAX_SIGMA = 3;
  private static final double MIN_CAPACITY_FRACTION = 0.001;
  private static final double MIN_WARM_UP_SECONDS = 0.1;
  private static final double MAX_WARM_UP_SECONDS = 3_600;
  private static final double MIN_OVERLOAD_MULTIPLE = 0.1;
  private static final double MAX_OVERLOAD_MULTIPLE = 100;
  private static final double MIN_WINDOW_MS = 1;
  private static final double MAX_WINDOW_MS = 60_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Checks the fields. */
  public UpstreamSettings {
    FieldCheck.inRange("count", 1, MAX_COUNT, count);
    FieldCheck.inRange("concurrency", 1, MAX_CONCURRENCY, concurrency);
    FieldCheck.inRange("queue-limit", 0, Integer.MAX_VALUE, queueLimit);
    FieldCheck.inRange("mean-service-ms", MIN_SERVICE_MS, MAX_SERVICE_MS, meanServiceMs);
    FieldCheck.inRange("service-time-sigma", 0, MAX_SIGMA, serviceTimeSigma);
    FieldCheck.inRange("failure-fraction", 0, 1, failureFraction);
    FieldCheck.inRange(
        "initial-capacity-fraction", MIN_CAPACITY_FRACTION, 1, initialCapacityFraction);
    FieldCheck.inRange("warm-up-seconds", MIN_WARM_UP_SECONDS, MAX_WARM_UP_SECONDS, warmUpSeconds);
    FieldCheck.inRange(
        "overload-multiple", MIN_OVERLOAD_MULTIPLE, MAX_OVERLOAD_MULTIPLE, overloadMultiple);
    FieldCheck.inRange("overload-window-ms", MIN_WINDOW_MS, MAX_WINDOW_MS, overloadWindowMs);
  }

  /** The rate at which a warm upstream can serve requests. */
  public double capacityPerSecond() {
    return concurrency * MILLIS_PER_SECOND / meanServiceMs;
  }
}
