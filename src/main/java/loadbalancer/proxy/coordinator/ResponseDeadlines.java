package loadbalancer.proxy.coordinator;

import loadbalancer.proxy.http.ClientRequest;

/**
 * Calculates how long the policy has to decide on the final response to a request. Confined to the
 * event loop thread.
 */
final class ResponseDeadlines {

  /**
   * The maximum margin in nanoseconds. A response is due this long before the client stops waiting,
   * since a busy event loop sends it late.
   */
  private static final long MAX_MARGIN_NANOS = 60_000_000L;

  /**
   * Limits the margin to this fraction of the client's time left, so that requests with little time
   * left are still forwarded.
   */
  private static final double MAX_MARGIN_FRACTION = 0.125;

  private long latestDeadlineNanos = Long.MAX_VALUE;

  /** Sets the latest allowed deadline, in nanoseconds on the balancer's clock. */
  void capAt(long deadlineNanos) {
    latestDeadlineNanos = deadlineNanos;
  }

  /**
   * The time in nanoseconds that the policy has to decide on a request that arrives now.
   *
   * @param request the request, with the time that its client waits
   * @param nowNanos the current time, on the balancer's clock
   */
  long timeLeftNanos(ClientRequest request, long nowNanos) {
    long clientTimeLeftNanos = request.timeLeftNanos();
    long uncappedTimeLeftNanos = clientTimeLeftNanos - marginNanos(clientTimeLeftNanos);
    return Math.max(0, Math.min(uncappedTimeLeftNanos, latestDeadlineNanos - nowNanos));
  }

  /**
   * The margin in nanoseconds between the deadline of a response and the time at which the client
   * stops waiting.
   */
  static long marginNanos(long clientTimeLeftNanos) {
    return Math.min(MAX_MARGIN_NANOS, (long) (clientTimeLeftNanos * MAX_MARGIN_FRACTION));
  }
}
