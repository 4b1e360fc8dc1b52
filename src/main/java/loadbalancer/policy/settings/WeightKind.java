package loadbalancer.policy.settings;

/** The meaning of the endpoints' weights. */
public enum WeightKind {
  /** Weights are not used: each is 1. */
  NONE,
  /** The endpoint's registered size. */
  NOMINAL,
  /** The endpoint's approximate size. */
  ROUGH,
  /**
   * The endpoint's size, divided by one plus its requests in flight per core, as sampled earlier.
   */
  LIVE
}
