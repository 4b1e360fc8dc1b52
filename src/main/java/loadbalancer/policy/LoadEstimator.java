package loadbalancer.policy;

/**
 * Turns a request's work hint into a load, in average requests: a few heavy requests fill an
 * endpoint that a count of requests would call half empty. The average is an exponentially weighted
 * moving average of the hints that came.
 */
final class LoadEstimator {
  /** A request counts as at most this many average ones, and at least as the inverse. */
  private static final double MAX_LOAD = 4;

  private static final double SMOOTHING_FACTOR = 0.005;

  private double smoothedHintNanos;

  /**
   * The load of a request; a hint also moves the average.
   *
   * @param workHintNanos the expected work, or 0 where no hint came
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
