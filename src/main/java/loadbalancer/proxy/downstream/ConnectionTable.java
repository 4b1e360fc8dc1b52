package loadbalancer.proxy.downstream;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The open client connections and the limit on their number. Not thread-safe: for use on the event
 * loop.
 */
final class ConnectionTable {

  /**
   * An incomplete request that has been arriving for less time does not give way to a new
   * connection. Short, because the client that waits for a place has a deadline.
   */
  private static final long MIN_EVICTION_AGE_NANOS = 100_000_000L;

  private final int maxConnections;

  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Creates an empty table that is full at the given number of connections. */
  ConnectionTable(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** Adds a newly accepted connection; does not enforce the limit. */
  void add(ClientConnection connection) {
    connections.add(connection);
  }

  /** Removes a closed connection; does nothing if it is not in the table. */
  void remove(ClientConnection connection) {
    connections.remove(connection);
  }

  /** Returns the number of open connections. */
  int size() {
    return connections.size();
  }

  /** Returns how many connections can be added until the limit is reached. */
  int freePlaces() {
    return Math.max(0, maxConnections - connections.size());
  }

  /** Returns whether the limit is reached. */
  boolean isFull() {
    return connections.size() >= maxConnections;
  }

  /** Returns whether the open connections exceed the given fraction of the limit. */
  boolean exceedsFraction(double fraction) {
    return connections.size() > maxConnections * fraction;
  }

  /** Returns a copy of the connections. */
  List<ClientConnection> snapshot() {
    return List.copyOf(connections);
  }

  /**
   * Returns the connection whose incomplete request has been arriving longest, if any.
   *
   * @param excluded the memory of the connection to leave out
   */
  Optional<ClientConnection> longestReceiving(RequestMemory excluded) {
    long nowNanos = System.nanoTime();
    return connections.stream()
        .filter(connection -> connection.memory() != excluded)
        .filter(connection -> connection.isAwaitingRequest() && connection.memory().isReserved())
        .max(Comparator.comparingLong(connection -> connection.receivingNanos(nowNanos)));
  }

  /** Returns the connection whose responses have been waiting longest for its client, if any. */
  Optional<ClientConnection> longestPending() {
    long nowNanos = System.nanoTime();
    return connections.stream()
        .filter(connection -> connection.writer().hasPendingWrites())
        .max(Comparator.comparingLong(connection -> connection.writer().pendingNanos(nowNanos)));
  }

  /**
   * Makes room for the next client by the connection that has made no progress for the longest
   * time: closes it if it is idle after a response, responds 408 if its request is incomplete.
   * Returns false if there is none, or only requests that have begun to arrive recently.
   */
  boolean evictOne() {
    long nowNanos = System.nanoTime();
    Optional<ClientConnection> longest =
        connections.stream()
            .filter(connection -> isEvictable(connection, nowNanos))
            .max(Comparator.comparingLong(connection -> waitingNanos(connection, nowNanos)));
    longest.ifPresent(ClientConnection::endIncompleteRequest);
    return longest.isPresent();
  }

  private static boolean isEvictable(ClientConnection connection, long nowNanos) {
    return connection.isIdleAfterResponse()
        || connection.receivingNanos(nowNanos) >= MIN_EVICTION_AGE_NANOS;
  }

  private static long waitingNanos(ClientConnection connection, long nowNanos) {
    return connection.isIdleAfterResponse()
        ? connection.times().idleNanos(nowNanos)
        : connection.receivingNanos(nowNanos);
  }
}
