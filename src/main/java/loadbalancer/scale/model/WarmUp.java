package loadbalancer.scale.model;

import loadbalancer.scale.config.UpstreamSettings;

/**
 * The warm-up of a restarted upstream: its capacity grows linearly from an initial fraction to the
 * full capacity.
 *
 * @param initialCapacityFraction the fraction of the full capacity at the start
 * @param durationNanos the time from the start to the full capacity
 */
public record WarmUp(double initialCapacityFraction, long durationNanos) {

  /** Returns the warm-up of a service's upstreams. */
  public static WarmUp of(UpstreamSettings upstreams) {
    return new WarmUp(
        upstreams.initialCapacityFraction(), Durations.secondsToNanos(upstreams.warmUpSeconds()));
  }

  /**
   * The fraction of the full capacity.
   *
   * @param ageNanos the time since the upstream's start
   */
  public double capacityFraction(long ageNanos) {
    double progress = Math.min(1, (double) ageNanos / durationNanos);
    return initialCapacityFraction + (1 - initialCapacityFraction) * progress;
  }
}
