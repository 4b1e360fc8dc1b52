package loadbalancer.proxy.downstream;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Enforces the time limits of client connections: without them, connections that send nothing or
 * never complete a request would hold all descriptors in the end. Sweeps over all connections
 * periodically, which costs less than a timer for each. Belongs to the event loop.
 */
final class ConnectionTimeouts {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Short, since at the connection limit the next client waits for a sweep. */
  private static final long SWEEP_PERIOD_MILLIS = 50;

  /**
   * For receiving a request: from the connect for the first one, from its first byte for a later
   * one. The protocol owes a peer without a proper request an error within 3 s.
   */
  private static final long MAX_RECEIVING_NANOS = 2_300 * NANOS_PER_MILLI;

  /**
   * For the first request at the connection limit: clients send theirs directly after the connect.
   */
  private static final long MAX_UNUSED_NANOS_WHEN_FULL = 250 * NANOS_PER_MILLI;

  /** Between requests, with many connections open; the protocol allows a close after 2 s. */
  private static final long MAX_IDLE_NANOS_WHEN_CROWDED = 2_000 * NANOS_PER_MILLI;

  /** Between requests, with few connections open: an idle connection holds memory. */
  private static final long MAX_IDLE_NANOS = 10_000 * NANOS_PER_MILLI;

  /** The fraction of the connection limit beyond which many connections are open. */
  private static final double CROWDED_FRACTION = 0.5;

  /** For a client to read what was written to it. */
  private static final long MAX_WRITE_STALL_NANOS = 5_000 * NANOS_PER_MILLI;

  private final EventLoop loop;
  private final ConnectionTable connections;

  /** Makes a sweep over this table, which {@link #start} begins. */
  ConnectionTimeouts(EventLoop loop, ConnectionTable connections) {
    this.loop = loop;
    this.connections = connections;
  }

  /** Starts the periodic sweep, for the rest of the loop's life. */
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
      // Makes room for the next client even where every connection is within its limits.
      connections.leastRecentlyUsedIdle().ifPresent(ClientConnection::closeAfterWrites);
    }
  }

  private void enforceLimits(ClientConnection connection, long nowNanos) {
    if (connection.times().writeStalledNanos(nowNanos) > MAX_WRITE_STALL_NANOS) {
      connection.abort();
    } else if (connection.receivingNanos(nowNanos) > maxReceivingNanos(connection)) {
      connection.expire();
    } else if (connection.isIdle()
        && connection.times().idleNanos(nowNanos) > maxIdleNanos(connection)) {
      connection.closeAfterWrites();
    }
  }

  private long maxReceivingNanos(ClientConnection connection) {
    boolean isUnusedWhenFull = connections.isFull() && connection.isNeverUsed();
    return isUnusedWhenFull ? MAX_UNUSED_NANOS_WHEN_FULL : MAX_RECEIVING_NANOS;
  }

  private long maxIdleNanos(ClientConnection connection) {
    if (connection.isNeverUsed()) {
      return maxReceivingNanos(connection);
    }
    return connections.isFilledOver(CROWDED_FRACTION)
        ? MAX_IDLE_NANOS_WHEN_CROWDED
        : MAX_IDLE_NANOS;
  }
}
