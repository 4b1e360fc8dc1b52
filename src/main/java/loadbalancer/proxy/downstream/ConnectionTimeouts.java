package loadbalancer.proxy.downstream;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Enforces the time limits of client connections. Without limits, connections that send nothing or
 * never complete a request would eventually hold all file descriptors. A periodic sweep over all
 * connections costs less than a timer for each. Not thread-safe: for use on the event loop.
 */
final class ConnectionTimeouts {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Short, because at the connection limit the next client may have to wait for a sweep. */
  private static final long SWEEP_PERIOD_MILLIS = 50;

  /**
   * The limit for receiving a complete request, counted from the connect for the first request and
   * from its first byte for a later one. Below the 3 s within which the protocol requires an error
   * response to an incomplete or malformed request.
   */
  private static final long MAX_RECEIVING_NANOS = 2_300 * NANOS_PER_MILLI;

  /**
   * The limit for receiving the first request while the connection limit is reached. Short, because
   * clients send their first request directly after the connect.
   */
  private static final long MAX_FIRST_REQUEST_NANOS_WHEN_FULL = 250 * NANOS_PER_MILLI;

  /**
   * The limit for an idle connection while many are open. The protocol allows the proxy to close a
   * connection that has been idle for 2 s.
   */
  private static final long MAX_IDLE_NANOS_AT_HIGH_USAGE = 2_000 * NANOS_PER_MILLI;

  /** The limit for an idle connection while few are open; it exists to free their memory. */
  private static final long MAX_IDLE_NANOS = 10_000 * NANOS_PER_MILLI;

  /**
   * The fraction of the connection limit above which {@link #MAX_IDLE_NANOS_AT_HIGH_USAGE} applies.
   */
  private static final double HIGH_USAGE_FRACTION = 0.5;

  /** The limit for a client that does not read the data written to it. */
  private static final long MAX_WRITE_PENDING_NANOS = 5_000 * NANOS_PER_MILLI;

  private final EventLoop loop;
  private final ConnectionTable connections;

  /** Creates the sweep over the given table; {@link #start} starts it. */
  ConnectionTimeouts(EventLoop loop, ConnectionTable connections) {
    this.loop = loop;
    this.connections = connections;
  }

  /** Starts the periodic sweep, which runs until the loop shuts down. */
  void start() {
    loop.scheduleWithFixedDelay(
        this::sweep, SWEEP_PERIOD_MILLIS, SWEEP_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void sweep() {
    long nowNanos = System.nanoTime();
    for (ClientConnection connection : connections.snapshot()) {
      enforceLimits(connection, nowNanos);
    }
    if (connections.isFull()) {
      // Makes room for the next client even if every connection is within its time limits.
      connections.evictOne();
    }
  }

  private void enforceLimits(ClientConnection connection, long nowNanos) {
    if (connection.writer().pendingNanos(nowNanos) > MAX_WRITE_PENDING_NANOS) {
      connection.writer().abort();
    } else if (connection.receivingNanos(nowNanos) > maxReceivingNanos(connection)) {
      connection.endIncompleteRequest();
    } else if (connection.isIdle()
        && connection.times().idleNanos(nowNanos) > maxIdleNanos(connection)) {
      connection.closeAfterWrites();
    }
  }

  private long maxReceivingNanos(ClientConnection connection) {
    boolean isFirstRequestWhenFull = connections.isFull() && connection.isAwaitingFirstRequest();
    return isFirstRequestWhenFull ? MAX_FIRST_REQUEST_NANOS_WHEN_FULL : MAX_RECEIVING_NANOS;
  }

  private long maxIdleNanos(ClientConnection connection) {
    if (connection.isAwaitingFirstRequest()) {
      return maxReceivingNanos(connection);
    }
    return connections.exceedsFraction(HIGH_USAGE_FRACTION)
        ? MAX_IDLE_NANOS_AT_HIGH_USAGE
        : MAX_IDLE_NANOS;
  }
}
