package loadbalancer.proxy.downstream;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** The open client connections and their limit. Belongs to the event loop. */
final class ConnectionTable {

  private final int maxConnections;

  /** Ordered by the time of the last response, least recent first; a new connection comes last. */
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Makes an empty table for at most this many connections. */
  ConnectionTable(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** Adds a connection that was just accepted. */
  void add(ClientConnection connection) {
    connections.add(connection);
  }

  /** Removes a connection that has closed; does nothing for one that is not in the table. */
  void remove(ClientConnection connection) {
    connections.remove(connection);
  }

  /** Notes that this connection has had the most recent response, if it is in the table. */
  void responseWritten(ClientConnection connection) {
    if (connections.remove(connection)) {
      connections.add(connection);
    }
  }

  /** The number of open connections. */
  int size() {
    return connections.size();
  }

  /** Whether the limit is reached. */
  boolean isFull() {
    return connections.size() >= maxConnections;
  }

  /** Whether more than this fraction of the limit is open. */
  boolean isFilledOver(double fraction) {
    return connections.size() > maxConnections * fraction;
  }

  /** A copy of the table, the connection with the least recent response first. */
  List<ClientConnection> snapshot() {
    return List.copyOf(connections);
  }

  /** The connection that has been idle for longest since a response, if there is one. */
  Optional<ClientConnection> leastRecentlyUsedIdle() {
    return connections.stream().filter(ClientConnection::isIdleAfterUse).findFirst();
  }
}
