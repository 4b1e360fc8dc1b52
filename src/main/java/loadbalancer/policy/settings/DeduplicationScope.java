package loadbalancer.policy.settings;

/** The set of endpoints that recognize, and drop, a repeated idempotency key. */
public enum DeduplicationScope {
  /** All endpoints. */
  ALL,
  /** The endpoints of the zone that received the request first. */
  ZONE,
  /** The endpoints of the deduplication cell that received the request first. */
  CELL
}
