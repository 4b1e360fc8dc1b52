package loadbalancer.policy;

import java.util.List;
import loadbalancer.policy.settings.WeightKind;

/**
 * The number of points that each endpoint owns on the {@link HashRing}: the same for all, or in
 * proportion to their weights if these are sizes.
 */
final class RingPointCounts {
  /** Keeps keys per endpoint within about 15% of the mean; {@link LoadBound} evens out the rest. */
  private static final int POINTS_PER_ENDPOINT = 50;

  /** Weights are clamped to this multiple of the median, and to the inverse multiple. */
  private static final double MAX_RELATIVE_WEIGHT = 4;

  private final boolean isWeightASize;

  /** The median weight of the ready endpoints when there first were any; 0 until then. */
  private double medianWeight;

  /** Creates the counts for weights of this kind. */
  RingPointCounts(WeightKind weightKind) {
    isWeightASize = weightKind == WeightKind.NOMINAL || weightKind == WeightKind.ROUGH;
  }

  /** Whether the median weight is needed and has not been determined yet. */
  boolean needsMedianWeight() {
    return isWeightASize && medianWeight == 0;
  }

  /**
   * Determines the median weight, in O(n log n) for n endpoints. It is not computed again once it
   * is other than 0, so that an update moves only the keys of endpoints that changed.
   *
   * @param ready the ready endpoints; at least one
   */
  void setMedianWeight(List<Endpoint> ready) {
    double[] weights =
        ready.stream().mapToDouble(endpoint -> endpoint.descriptor().weight()).sorted().toArray();
    medianWeight = weights[weights.length / 2];
  }

  /** The number of points of an endpoint: 0 if it is not ready. */
  int of(Endpoint endpoint) {
    if (!endpoint.isReady()) {
      return 0;
    }
    if (!isWeightASize || medianWeight <= 0) {
      return POINTS_PER_ENDPOINT;
    }
    double relativeWeight =
        Math.min(
            MAX_RELATIVE_WEIGHT,
            Math.max(1 / MAX_RELATIVE_WEIGHT, endpoint.descriptor().weight() / medianWeight));
    return (int) Math.round(POINTS_PER_ENDPOINT * relativeWeight);
  }
}
