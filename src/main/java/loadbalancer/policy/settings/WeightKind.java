package loadbalancer.policy.settings;

/** What the weight of an endpoint means. */
public enum WeightKind {
  /** Nothing: every weight is 1. */
  NONE,
  /** The endpoint's registered size. */
  NOMINAL,
  /** The endpoint's approximate size. */
  ROUGH,
  /** The size divided by one plus the requests in flight for each core, sampled a while ago. */
  LIVE
}
