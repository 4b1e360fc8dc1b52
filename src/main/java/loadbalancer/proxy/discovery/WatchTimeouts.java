package loadbalancer.proxy.discovery;

/**
 * The timeouts of a watch, in milliseconds.
 *
 * @param firstResponseTimeoutMillis the maximum time from the start of the connect to the first
 *     list data or heartbeat, and between two parts of the first list
 * @param firstListTimeoutMillis the maximum time from the start of the connect to the first
 *     complete list or heartbeat
 * @param idleTimeoutMillis the maximum time between lists or heartbeats of an established watch
 */
public record WatchTimeouts(
    long firstResponseTimeoutMillis, long firstListTimeoutMillis, long idleTimeoutMillis) {

  /** The interval of the service's heartbeats, each an empty line. */
  private static final long HEARTBEAT_MILLIS = 2_000;

  /** How late a heartbeat may arrive when a machine is loaded. */
  private static final long HEARTBEAT_TOLERANCE_MILLIS = 500;

  /**
   * After two missed heartbeats the watch counts as dead. The protocol treats a change as notified
   * 6 s after the service last sent data, so another watch must run by then, and the backoff of the
   * policy may delay that watch by 1 s.
   */
  static final long IDLE_TIMEOUT_MILLIS = 2 * HEARTBEAT_MILLIS + HEARTBEAT_TOLERANCE_MILLIS;

  /**
   * The service responds at once, but if the list has not changed, the first data may be a
   * heartbeat. The protocol treats a change as notified 4 s after a reload, so a watch at the new
   * address that gets no response must fail early enough for a backoff and another watch.
   */
  static final long FIRST_RESPONSE_TIMEOUT_MILLIS = HEARTBEAT_MILLIS + HEARTBEAT_TOLERANCE_MILLIS;

  /**
   * The protocol treats a change as notified 6 s after the service had it, and a list that takes
   * that long to arrive is still in time. Another watch would have to begin with it anew.
   */
  static final long FIRST_LIST_TIMEOUT_MILLIS = 6_000 + HEARTBEAT_TOLERANCE_MILLIS;

  /** The timeouts that follow from the time limits of the protocol. */
  public static final WatchTimeouts PROTOCOL =
      new WatchTimeouts(
          FIRST_RESPONSE_TIMEOUT_MILLIS, FIRST_LIST_TIMEOUT_MILLIS, IDLE_TIMEOUT_MILLIS);
}
