package loadbalancer.scale.experiment;

import loadbalancer.scale.config.ColdSettings;
import loadbalancer.scale.model.Durations;
import loadbalancer.scale.model.WarmUp;

/** The number of requests that a restarted upstream could serve during its warm-up. */
final class OfferedCapacity {

  /** The steps of the numerical integration over the warm-up. */
  private static final int STEPS = 10_000;

  private final WarmUp warmUp;
  private final double capacityPerSecond;
  private final double fairSharePerSecond;

  /** Creates the capacity of one upstream of the service. */
  OfferedCapacity(ColdSettings settings) {
    warmUp = WarmUp.of(settings.upstreams());
    capacityPerSecond = settings.upstreams().capacityPerSecond();
    fairSharePerSecond = settings.arrivals().requestsPerSecond();
  }

  /** The present capacity, but at most the upstream's fair share of the traffic. */
  double cappedByFairShare() {
    double sum = 0;
    for (int step = 0; step < STEPS; step++) {
      sum += Math.min(fairSharePerSecond, capacityPerSecond * fractionAt(step));
    }
    return sum * stepSeconds();
  }

  /** The fair share of the traffic, times the present fraction of the capacity. */
  double proportional() {
    double sum = 0;
    for (int step = 0; step < STEPS; step++) {
      sum += fairSharePerSecond * fractionAt(step);
    }
    return sum * stepSeconds();
  }

  private double fractionAt(int step) {
    return warmUp.capacityFraction((long) ((step + 0.5) / STEPS * warmUp.durationNanos()));
  }

  private double stepSeconds() {
    return (double) warmUp.durationNanos() / Durations.NANOS_PER_SECOND / STEPS;
  }
}
