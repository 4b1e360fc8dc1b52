package loadbalancer.proxy.downstream;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.List;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.proxy.coordinator.DownstreamClient;
import loadbalancer.proxy.coordinator.RequestCoordinator;
import loadbalancer.proxy.http.ClientRequest;

/**
 * Serves clients: listens, holds the table of client connections and its limit, responds to
 * readiness checks, and closes the connections at a graceful shutdown. Belongs to the event loop:
 * all methods but {@link #setWarmUpPath} and {@link #listen} are to be called on its thread.
 */
public final class DownstreamServer {

  private static final String READINESS_PATH = "/up";

  private final EventLoop loop;
  private final PolicySettings settings;
  private final ClientRequestParser requestParser;
  private final RequestCoordinator coordinator;
  private final ConnectionTable connections;
  private final ConnectionListener listener;

  private boolean isWarmedUp;
  private boolean isShuttingDown;
  private boolean closesAfterResponse;

  /** Null without a warm-up, and after it. */
  private String warmUpPath;

  /**
   * Makes a server that accepts connections from {@link #listen} on.
   *
   * @param loop serves all connections
   * @param settings the request classes and tenants that requests may name
   * @param coordinator takes the clients' requests
   * @param maxConnections open at a time
   */
  public DownstreamServer(
      EventLoop loop, PolicySettings settings, RequestCoordinator coordinator, int maxConnections) {
    this.loop = loop;
    this.settings = settings;
    this.coordinator = coordinator;
    requestParser = new ClientRequestParser(settings);
    connections = new ConnectionTable(maxConnections);
    listener = new ConnectionListener(loop);
  }

  // ---- Listening and readiness

  /**
   * Sets the path of the requests that the warm-up sends to its own process, which get status 200
   * until {@link #setReady}; to be called before {@link #listen}.
   */
  public void setWarmUpPath(String path) {
    warmUpPath = path;
  }

  /**
   * Listens, and starts the time limits of connections; waits for the bind, so it must not be
   * called on the event loop.
   *
   * @return the bound address
   * @throws InterruptedException if interrupted while waiting for the bind
   */
  public InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
    InetSocketAddress bound = listener.bind(address, this::initialize);
    loop.execute(new ConnectionTimeouts(loop, connections)::start);
    return bound;
  }

  /** Ends the warm-up: from now on readiness checks succeed. */
  public void setReady() {
    isWarmedUp = true;
    warmUpPath = null;
  }

  /** Whether this is the path of readiness checks, or that of the warm-up's requests. */
  boolean isReadinessPath(String uri) {
    return uri.equals(READINESS_PATH) || isWarmUpPath(uri);
  }

  /** Whether a request for one of the readiness paths succeeds. */
  boolean isReadyFor(String uri) {
    return isWarmUpPath(uri) || (isWarmedUp && !isShuttingDown);
  }

  /** No client knows the warm-up's path. */
  private boolean isWarmUpPath(String uri) {
    return uri.equals(warmUpPath);
  }

  /** The settings that requests are checked against. */
  public PolicySettings settings() {
    return settings;
  }

  // ---- Connections

  /** The open connections, the one with the least recent response first; a copy. */
  public List<ClientConnection> connections() {
    return connections.snapshot();
  }

  /** The number of open connections. */
  public int openConnections() {
    return connections.size();
  }

  private void initialize(Channel channel) {
    ClientConnection connection = new ClientConnection(this);
    channel
        .pipeline()
        .addLast(new RequestDecoder(connection), new HttpResponseEncoder(), connection);
    connectionOpened(connection);
  }

  /**
   * At the limit, closes the least recently used idle connection, so that a new client (or a
   * readiness check) need not wait for a sweep of {@link ConnectionTimeouts}. Without an idle
   * connection nothing more is accepted until a connection closes.
   */
  private void connectionOpened(ClientConnection connection) {
    connections.add(connection);
    if (connections.isFull()) {
      connections
          .leastRecentlyUsedIdle()
          .ifPresentOrElse(ClientConnection::closeAfterWrites, listener::pauseAccepting);
    }
  }

  /** Removes a closed connection, and accepts again below the limit. */
  void connectionClosed(ClientConnection connection) {
    connections.remove(connection);
    if (!connections.isFull()) {
      listener.resumeAccepting();
    }
  }

  /** Notes that this connection has had the most recent response. */
  void responseWritten(ClientConnection connection) {
    connections.responseWritten(connection);
  }

  // ---- Requests

  /** Parses and checks the requests of all connections. */
  ClientRequestParser requestParser() {
    return requestParser;
  }

  /** Submits a request; false if a request with its id is open already. */
  boolean submit(ClientRequest request, DownstreamClient client) {
    return coordinator.accept(request, client);
  }

  /** Notifies the coordinator that the client of this open request has disconnected. */
  void clientDisconnected(String requestId) {
    coordinator.clientDisconnected(requestId);
  }

  // ---- Graceful shutdown, in the order of its steps

  /** Fails readiness checks from now on; connected and new clients are served as before. */
  public void beginGracefulShutdown() {
    isShuttingDown = true;
  }

  /** Accepts no more connections. */
  public void stopListening() {
    listener.close();
  }

  /**
   * Closes each connection after its next response from now on, and idle ones at once. Kept are
   * connections that are receiving a request, and unused ones, whose first request may be on its
   * way: both are owed a response.
   */
  public void closeIdleConnections() {
    closesAfterResponse = true;
    connections.snapshot().stream()
        .filter(ClientConnection::isIdleAfterUse)
        .forEach(ClientConnection::closeAfterWrites);
  }

  /** Whether each connection closes after its next response. */
  boolean closesAfterResponse() {
    return closesAfterResponse;
  }

  /**
   * Closes connections without a complete request, after a 408 where one is being received: a slow
   * sender must not delay the end of the process.
   */
  public void endIncompleteRequests() {
    connections.snapshot().stream()
        .filter(ClientConnection::isAwaitingRequest)
        .forEach(DownstreamServer::endIncompleteRequest);
  }

  private static void endIncompleteRequest(ClientConnection connection) {
    if (connection.isIdle()) {
      connection.closeAfterWrites();
    } else {
      connection.expire();
    }
  }
}
