package loadbalancer.policy.event;

/** How an attempt or a health check ended. */
public enum AttemptStatus {
  /** The endpoint returned a complete, successful response. */
  SERVED,
  /** The endpoint returned an error; it may have run the request. */
  ERROR,
  /** The endpoint rejected the request unprocessed: its queue is full or it is draining. */
  REJECTED,
  /** No response within the attempt's time-out; the request may have run or may still run. */
  TIMEOUT,
  /** No connection came up, so nothing was sent. */
  CONNECT_FAILED,
  /** The connection broke after the request was sent; the request may have run. */
  RESET,
  /** The balancer gave the attempt up; the request may have run. */
  CANCELLED,
  /** The attempt was not started: the request had finished or had no attempts left. */
  NOT_SENT;

  /** Whether this status proves that the endpoint never ran the request. */
  public boolean provesNotRun() {
    return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
  }
}
