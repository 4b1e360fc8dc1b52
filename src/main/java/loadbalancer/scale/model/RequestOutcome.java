package loadbalancer.scale.model;

/** How a request ended. */
public enum RequestOutcome {
  /** An upstream served it. */
  SERVED,
  /** The balancer rejected it; the client may safely retry it. */
  REJECTED,
  /** The balancer reported a failure. */
  FAILED
}
