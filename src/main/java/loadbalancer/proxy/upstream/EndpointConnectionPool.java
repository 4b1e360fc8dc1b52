package loadbalancer.proxy.upstream;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;

/**
 * The idle connections to one upstream, each for one request at a time; the one used last is reused
 * first. A pool belongs to an upstream and not to its address: a successor at the same address must
 * not inherit connections. All state belongs to the event loop.
 */
final class EndpointConnectionPool {

  private final UpstreamConnectionPools allPools;
  private final InetSocketAddress address;

  /** The connection that became idle last comes first. */
  private final ArrayDeque<UpstreamConnection> idleConnections = new ArrayDeque<>();

  private boolean isClosed;

  /** When anything last came from the upstream, by {@link System#nanoTime}. */
  private long lastReceivedNanos = System.nanoTime();

  /**
   * Makes an empty pool.
   *
   * @param allPools opens connections within the common limit
   * @param address the upstream's address
   */
  EndpointConnectionPool(UpstreamConnectionPools allPools, InetSocketAddress address) {
    this.allPools = allPools;
    this.address = address;
  }

  /** The upstream's address. */
  InetSocketAddress address() {
    return address;
  }

  /**
   * Takes the idle connection that was used last out of the pool, or returns null where there is
   * none. Closes those that it finds unusable.
   */
  UpstreamConnection acquireIdle() {
    UpstreamConnection newest = idleConnections.pollFirst();
    while (newest != null && !newest.isReusable()) {
      newest.close();
      newest = idleConnections.pollFirst();
    }
    return newest;
  }

  /** Opens a connection; empty where no connection is left within the limits. */
  Optional<ChannelFuture> connect() {
    return allPools.connect(this);
  }

  /** Takes back a connection with no request on it; a closed pool closes it. */
  void release(UpstreamConnection connection) {
    if (isClosed) {
      connection.close();
      return;
    }
    connection.markIdle();
    idleConnections.addFirst(connection);
  }

  /** Removes a connection that has closed. */
  void remove(UpstreamConnection connection) {
    idleConnections.remove(connection);
  }

  /** Records that bytes came from the upstream, on any connection. */
  void recordReceived() {
    lastReceivedNanos = System.nanoTime();
  }

  /** Whether anything came from the upstream, on any connection, within this time. */
  boolean hasReceivedWithin(long nanos) {
    return System.nanoTime() - lastReceivedNanos < nanos;
  }

  /** Closes the idle connections; the pool stays open. */
  void closeIdle() {
    List<UpstreamConnection> closing = List.copyOf(idleConnections);
    idleConnections.clear();
    closing.forEach(UpstreamConnection::close);
  }

  /**
   * Closes the pool of an upstream that was removed or has moved: idle connections now, the others
   * when they are released.
   */
  void close() {
    isClosed = true;
    closeIdle();
    allPools.remove(this);
  }

  /** Closes connections that have been idle since this time, by {@link System#nanoTime}. */
  void closeIdleSince(long nanoTime) {
    while (!idleConnections.isEmpty()
        && idleConnections.peekLast().idleSinceNanos() - nanoTime <= 0) {
      idleConnections.pollLast().close();
    }
  }

  /** The connection that has been idle longest, or null. */
  UpstreamConnection longestIdle() {
    return idleConnections.peekLast();
  }
}
