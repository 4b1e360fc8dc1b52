package loadbalancer.policy.event;

/** The outcome of an attempt or a health check. */
public enum AttemptStatus {
  /** The endpoint returned a complete, successful response. */
  SERVED,
  /** The endpoint returned an error; it may have run the request. */
  ERROR,
  /** The endpoint rejected the request without processing it: its queue is full or it drains. */
  REJECTED,
  /** No response arrived within the attempt's timeout; the request may have run or may yet run. */
  TIMEOUT,
  /** No connection could be established, or it broke before the complete request was sent. */
  CONNECT_FAILED,
  /** The connection broke after the complete request was sent; the request may have run. */
  RESET,
  /** The balancer cancelled the attempt; the request may have run. */
  CANCELLED,
  /**
   * Nothing was sent, since the attempt was no longer allowed: for example, the request was
   * completed or had no attempts left.
   */
  NOT_SENT;

  /** Whether this status proves that the endpoint never ran the request. */
  public boolean provesNotRun() {
    return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
  }
}
