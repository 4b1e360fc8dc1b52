package loadbalancer.proxy.downstream;

/**
 * The timestamps of one connection, by {@link System#nanoTime}. They are plain {@code long} fields
 * with a sentinel for "never", because they are read in every sweep and written for every request.
 * Not thread-safe: for use on the event loop.
 */
final class ConnectionTimes {

  private static final long NEVER = 0;

  private final long openedAtNanos = System.nanoTime();
  private long lastResponseAtNanos = NEVER;

  /** When bytes were last read from the socket; later than that, they may wait to be decoded. */
  private long lastReadAtNanos = openedAtNanos;

  /** When the first byte of the current request arrived, which may still be incomplete. */
  private long requestStartedAtNanos = NEVER;

  /** Records bytes that were read from the socket. */
  void bytesRead() {
    lastReadAtNanos = System.nanoTime();
  }

  /** Records that a request has started, unless it had before: its first bytes are decoded next. */
  void requestStarted() {
    if (requestStartedAtNanos == NEVER) {
      requestStartedAtNanos = lastReadAtNanos;
    }
  }

  /** Returns how long the bytes that were read last have been in the process, in nanoseconds. */
  long sinceLastReadNanos() {
    return System.nanoTime() - lastReadAtNanos;
  }

  /** Records a written response, which ends the current request. */
  void responseWritten() {
    requestStartedAtNanos = NEVER;
    lastResponseAtNanos = System.nanoTime();
  }

  /** Returns whether at least one byte of a request without a response has been received. */
  boolean hasRequestStarted() {
    return requestStartedAtNanos != NEVER;
  }

  /** Returns whether any response has been written. */
  boolean hasResponded() {
    return lastResponseAtNanos != NEVER;
  }

  /** Returns the nanoseconds since the last response, or since the connect if there was none. */
  long idleNanos(long nowNanos) {
    return nowNanos - (hasResponded() ? lastResponseAtNanos : openedAtNanos);
  }

  /**
   * Returns the nanoseconds since the first byte of the current request, or since the connect for
   * the first request of the connection. Returns 0 if no request has started.
   */
  long requestAgeNanos(long nowNanos) {
    if (!hasRequestStarted()) {
      return 0;
    }
    return nowNanos - (hasResponded() ? requestStartedAtNanos : openedAtNanos);
  }
}
