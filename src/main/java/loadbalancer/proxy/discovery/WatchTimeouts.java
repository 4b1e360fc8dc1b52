package loadbalancer.proxy.discovery;

/**
 * The time limits of a watch.
 *
 * @param firstResponseMillis from the start of the connect until the first list or heartbeat, and
 *     between two parts of a first list that arrives in parts
 * @param silenceMillis between two lists or heartbeats of an established watch, and from the start
 *     of the connect until the first list is complete
 */
public record WatchTimeouts(long firstResponseMillis, long silenceMillis) {

  /** The period of the service's heartbeats, an empty line each. */
  private static final long HEARTBEAT_MILLIS = 2_000;

  /** How late a heartbeat may arrive on a loaded machine. */
  private static final long HEARTBEAT_TOLERANCE_MILLIS = 500;

  /**
   * Two missed heartbeats mean that nobody serves the connection any more. By the protocol a change
   * counts as notified 6 s after the last sign of the service: by then another watch has to run,
   * which the back-off of the policy may delay by a second.
   */
  static final long SILENCE_MILLIS = 2 * HEARTBEAT_MILLIS + HEARTBEAT_TOLERANCE_MILLIS;

  /**
   * The service responds at once, but where nothing has changed the first data may be a heartbeat.
   * After a reload a change counts as notified 4 s later: a watch at the new address that gets no
   * response has to end with time left for a back-off and another watch.
   */
  static final long FIRST_RESPONSE_MILLIS = HEARTBEAT_MILLIS + HEARTBEAT_TOLERANCE_MILLIS;

  /** The limits that the protocol's figures call for. */
  public static final WatchTimeouts PROTOCOL =
      new WatchTimeouts(FIRST_RESPONSE_MILLIS, SILENCE_MILLIS);
}
