package loadbalancer.policy.settings;

/** The endpoints that drop a repeat of a request with an idempotency key. */
public enum DeduplicationScope {
  /** All endpoints. */
  ALL,
  /** The endpoints of one zone. */
  ZONE,
  /** The endpoints of one deduplication cell. */
  CELL
}
