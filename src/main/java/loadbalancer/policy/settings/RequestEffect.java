package loadbalancer.policy.settings;

/** Whether a request of a class may run more than once. */
public enum RequestEffect {
  /** May run any number of times. */
  IDEMPOTENT,
  /**
   * Carries an idempotency key: the endpoints of a {@link DeduplicationScope} drop a repeat within
   * the deduplication window.
   */
  IDEMPOTENT_WITH_KEY,
  /** Must run at most once. */
  NOT_IDEMPOTENT
}
