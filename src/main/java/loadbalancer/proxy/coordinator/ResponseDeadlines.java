package loadbalancer.proxy.coordinator;

import loadbalancer.proxy.http.ClientRequest;

/**
 * How long the policy has to decide on the response to a request. All state belongs to the event
 * loop.
 */
final class ResponseDeadlines {

  /** The response is sent this long before the client stops waiting, for a busy event loop. */
  private static final long MAX_MARGIN_NANOS = 60_000_000L;

  /** Bounds the margin, so that requests with little time left are still forwarded. */
  private static final double MAX_MARGIN_FRACTION = 0.125;

  private long latestDeadlineNanos = Long.MAX_VALUE;

  /** Allows no deadline after this time, on the balancer's clock. */
  void capAt(long deadlineNanos) {
    latestDeadlineNanos = deadlineNanos;
  }

  /**
   * How long the policy has for a request that arrives now.
   *
   * @param request the request
   * @param nowNanos the time, on the balancer's clock
   */
  long timeLeftNanos(ClientRequest request, long nowNanos) {
    long clientTimeLeftNanos = request.timeLeftNanos();
    long untilMarginNanos = clientTimeLeftNanos - marginNanos(clientTimeLeftNanos);
    return Math.max(0, Math.min(untilMarginNanos, latestDeadlineNanos - nowNanos));
  }

  /** How long before the client stops waiting the response to its request is due. */
  static long marginNanos(long clientTimeLeftNanos) {
    return Math.min(MAX_MARGIN_NANOS, (long) (clientTimeLeftNanos * MAX_MARGIN_FRACTION));
  }
}
