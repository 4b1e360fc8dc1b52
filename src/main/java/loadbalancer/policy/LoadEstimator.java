package loadbalancer.policy;

/**
 * Estimates a request's load from its work hint, in average requests. A few heavy requests can fill
 * an endpoint that looks half empty by its number of requests. The average is an exponentially
 * weighted moving average of the hints received.
 */
final class LoadEstimator {
  /** The largest load of a request, in average requests; the smallest is its inverse. */
  private static final double MAX_LOAD = 4;

  private static final double SMOOTHING_FACTOR = 0.005;

  private double smoothedHintNanos;

  /**
   * Returns the load of a request and updates the average with its hint. A request without a hint
   * has a load of 1.
   *
   * @param workHintNanos the expected work, as time on a standard core; 0 without a hint
   */
  double loadOf(long workHintNanos) {
    if (workHintNanos <= 0) {
      return 1;
    }
    if (smoothedHintNanos == 0) {
      smoothedHintNanos = workHintNanos;
    } else {
      smoothedHintNanos += (workHintNanos - smoothedHintNanos) * SMOOTHING_FACTOR;
    }
    return Math.min(MAX_LOAD, Math.max(1 / MAX_LOAD, workHintNanos / smoothedHintNanos));
  }
}
