package loadbalancer.policy.settings;

/** Whether a request of a class may run more than once. */
public enum RequestEffect {
  /** May run any number of times. */
  IDEMPOTENT,
  /** Carries an idempotency key: endpoints drop a repeat within a window and a scope. */
  IDEMPOTENT_WITH_KEY,
  /** Must run at most once. */
  NOT_IDEMPOTENT
}
