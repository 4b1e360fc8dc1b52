package loadbalancer.proxy.downstream;

/**
 * When a connection last received, responded and stalled, by {@link System#nanoTime}. Belongs to
 * the event loop. Plain fields with a value for "never", since they are read in every sweep and
 * written for every request.
 */
final class ConnectionTimes {

  private static final long NEVER = 0;

  private final long openedAtNanos = System.nanoTime();
  private long lastResponseAtNanos = NEVER;

  /** The first byte of the request that is being received or in flight. */
  private long requestStartedAtNanos = NEVER;

  private long writeStalledSinceNanos = NEVER;

  /** Notes received bytes, the first of which start a request. */
  void requestBytesReceived() {
    if (requestStartedAtNanos == NEVER) {
      requestStartedAtNanos = System.nanoTime();
    }
  }

  /** Notes a response, which ends the request. */
  void responseWritten() {
    requestStartedAtNanos = NEVER;
    lastResponseAtNanos = System.nanoTime();
  }

  /** Notes that the socket takes more output again, or none any more. */
  void writabilityChanged(boolean isWritable) {
    writeStalledSinceNanos = isWritable ? NEVER : System.nanoTime();
  }

  /** Whether bytes of a request have been received that has had no response yet. */
  boolean hasRequestStarted() {
    return requestStartedAtNanos != NEVER;
  }

  /** Whether any request has had a response. */
  boolean hasResponded() {
    return lastResponseAtNanos != NEVER;
  }

  /** Time in nanoseconds since the last response, or since the connect where there was none. */
  long idleNanos(long nowNanos) {
    return nowNanos - (hasResponded() ? lastResponseAtNanos : openedAtNanos);
  }

  /**
   * Time in nanoseconds since the request's first byte, or since the connect for the first request;
   * 0 where none has started.
   */
  long requestNanos(long nowNanos) {
    if (!hasRequestStarted()) {
      return 0;
    }
    return nowNanos - (hasResponded() ? requestStartedAtNanos : openedAtNanos);
  }

  /** Time in nanoseconds for which the socket has taken no output; 0 while it takes some. */
  long writeStalledNanos(long nowNanos) {
    return writeStalledSinceNanos == NEVER ? 0 : nowNanos - writeStalledSinceNanos;
  }
}
