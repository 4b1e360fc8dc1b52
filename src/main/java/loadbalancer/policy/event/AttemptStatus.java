package loadbalancer.policy.event;

/** The outcome of an attempt or a health check. */
public enum AttemptStatus {
  /** The endpoint returned a complete, successful response. */
  SERVED,
  /** The endpoint returned an error; it may have run the request. */
  ERROR,
  /** The endpoint rejected the request without processing it: its queue is full or it drains. */
  REJECTED,
  /** No response arrived within the attempt's time-out; the request may have run or may yet run. */
  TIMEOUT,
  /** No connection could be established, so nothing was sent. */
  CONNECT_FAILED,
  /** The connection broke after the request was sent; the request may have run. */
  RESET,
  /** The balancer cancelled the attempt; the request may have run. */
  CANCELLED,
  /** The attempt was not started: the request was completed or had no attempts left. */
  NOT_SENT;

  /** Returns whether this status proves that the endpoint never ran the request. */
  public boolean provesNotRun() {
    return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
  }
}
