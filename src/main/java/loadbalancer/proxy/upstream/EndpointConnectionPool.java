package loadbalancer.proxy.upstream;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import loadbalancer.proxy.http.MemoryBudget;

/**
 * The idle connections to one upstream. Each connection carries one request at a time, and the most
 * recently used one is reused first. A pool belongs to an upstream and not to its address: an
 * upstream that replaces another at the same address must not inherit its connections. Not
 * thread-safe: used on the event loop only.
 */
final class EndpointConnectionPool {

  private final UpstreamConnectionPools allPools;
  private final InetSocketAddress address;

  /** Ordered by the time at which a connection became idle, the most recent first. */
  private final ArrayDeque<UpstreamConnection> idleConnections = new ArrayDeque<>();

  private boolean isClosed;

  /** When bytes were last received on any connection of the pool, by {@link System#nanoTime}. */
  private long lastReceivedNanos = System.nanoTime();

  /**
   * Creates an empty pool.
   *
   * @param allPools opens connections within the limit for all upstreams
   * @param address the upstream's address
   */
  EndpointConnectionPool(UpstreamConnectionPools allPools, InetSocketAddress address) {
    this.allPools = allPools;
    this.address = address;
  }

  /** The address that the pool's connections are opened to. */
  InetSocketAddress address() {
    return address;
  }

  /** The memory that the responses on the connections to all upstreams may take together. */
  MemoryBudget responseMemory() {
    return allPools.responseMemory();
  }

  /**
   * Removes the most recently used idle connection from the pool and returns it, or returns null if
   * there is none. Connections that can no longer be used are closed on the way.
   */
  UpstreamConnection acquireIdle() {
    UpstreamConnection connection = idleConnections.pollFirst();
    while (connection != null && !connection.isReusable()) {
      connection.close();
      connection = idleConnections.pollFirst();
    }
    return connection;
  }

  /** Opens a connection; empty if a limit on connections has been reached. */
  Optional<ChannelFuture> connect() {
    return allPools.connect(this);
  }

  /** Returns a connection without a request to the pool; if the pool is closed, closes it. */
  void release(UpstreamConnection connection) {
    if (isClosed) {
      connection.close();
      return;
    }
    connection.markIdle();
    idleConnections.addFirst(connection);
  }

  /** Removes a connection that has been closed. */
  void remove(UpstreamConnection connection) {
    idleConnections.remove(connection);
  }

  /** Records that bytes were received on one of the pool's connections. */
  void recordReceived() {
    lastReceivedNanos = System.nanoTime();
  }

  /** Whether bytes were received on any connection of the pool within this time before now. */
  boolean hasReceivedWithin(long nanos) {
    return System.nanoTime() - lastReceivedNanos < nanos;
  }

  /** Closes all idle connections; the pool stays open. */
  void closeIdle() {
    List<UpstreamConnection> connectionsToClose = List.copyOf(idleConnections);
    idleConnections.clear();
    connectionsToClose.forEach(UpstreamConnection::close);
  }

  /**
   * Closes the pool, because its upstream was removed or has a new address. Idle connections are
   * closed immediately, the others when they are released.
   */
  void close() {
    isClosed = true;
    closeIdle();
    allPools.remove(this);
  }

  /** Closes the connections that were already idle at this {@link System#nanoTime}. */
  void closeIdleSince(long nanoTime) {
    while (!idleConnections.isEmpty()
        && idleConnections.peekLast().idleSinceNanos() - nanoTime <= 0) {
      idleConnections.pollLast().close();
    }
  }

  /** The connection that has been idle longest, or null if none is idle. */
  UpstreamConnection longestIdle() {
    return idleConnections.peekLast();
  }
}
