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
import loadbalancer.proxy.http.MemoryBudget;

/**
 * Serves the clients: accepts connections up to a limit, passes their requests to the coordinator,
 * decides readiness, and closes the connections during a graceful shutdown. Not thread-safe: all
 * methods except {@link #setWarmUpPath} and {@link #listen} must be called on the event loop.
 */
public final class DownstreamServer {

  private final EventLoop loop;
  private final PolicySettings settings;
  private final ClientRequestParser requestParser;
  private final RequestCoordinator coordinator;
  private final ConnectionTable connections;
  private final RequestMemoryPool requestMemory;
  private final ResponseMemoryPool responseMemory;
  private final ConnectionListener listener;
  private final Readiness readiness = new Readiness();
  private boolean closesAfterResponse;

  /**
   * Creates a server, which accepts connections once {@link #listen} is called.
   *
   * @param loop accepts and serves all connections
   * @param settings defines the request classes and tenants that requests may name
   * @param coordinator receives the clients' requests
   * @param maxConnections the maximum number of open client connections
   */
  public DownstreamServer(
      EventLoop loop, PolicySettings settings, RequestCoordinator coordinator, int maxConnections) {
    this.loop = loop;
    this.settings = settings;
    this.coordinator = coordinator;
    requestParser = new ClientRequestParser(settings);
    connections = new ConnectionTable(maxConnections);
    requestMemory = new RequestMemoryPool(connections);
    responseMemory = new ResponseMemoryPool(connections);
    listener = new ConnectionListener(loop, connections::freePlaces);
  }

  // ---- Listening and readiness

  /**
   * Sets the path of the requests that the warm-up sends to its own process. They get status 200
   * until {@link #setReady} is called. Must be called before {@link #listen}.
   */
  public void setWarmUpPath(String path) {
    readiness.setWarmUpPath(path);
  }

  /**
   * Starts accepting connections and enforcing their time limits. Blocks until the socket is bound,
   * so it must not be called on the event loop.
   *
   * @param address the address to listen on; port 0 selects any free port
   * @return the bound address
   * @throws InterruptedException if interrupted while waiting for the bind
   */
  public InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
    InetSocketAddress bound = listener.bind(address, this::initialize);
    loop.execute(new ConnectionTimeouts(loop, connections)::start);
    return bound;
  }

  /** Ends the warm-up: readiness checks succeed until a graceful shutdown begins. */
  public void setReady() {
    readiness.setReady();
  }

  /** Returns what decides on readiness checks. */
  Readiness readiness() {
    return readiness;
  }

  /** Returns the settings that requests are checked against. */
  public PolicySettings settings() {
    return settings;
  }

  // ---- Connections

  /** Returns a copy of the open connections. */
  public List<ClientConnection> connections() {
    return connections.snapshot();
  }

  /** Returns the number of open client connections. */
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
   * Adds a connection. If the limit is reached, another one has to give way, so that the next
   * client or readiness check need not wait for a sweep of {@link ConnectionTimeouts}. If none can,
   * pauses accepting until one closes.
   */
  private void connectionOpened(ClientConnection connection) {
    connections.add(connection);
    if (connections.isFull() && !connections.evictOne()) {
      listener.pauseAccepting();
    }
  }

  /** Removes a closed connection, and resumes accepting if the limit is no longer reached. */
  void connectionClosed(ClientConnection connection) {
    connections.remove(connection);
    if (!connections.isFull()) {
      listener.resumeAccepting();
    }
  }

  // ---- Requests

  /** Returns the parser that all connections share. */
  ClientRequestParser requestParser() {
    return requestParser;
  }

  /** Creates the memory of a connection's requests, in which nothing is reserved. */
  RequestMemory newRequestMemory() {
    return new RequestMemory(requestMemory);
  }

  /** Returns the memory of the responses that clients do not read. */
  ResponseMemoryPool responseMemory() {
    return responseMemory;
  }

  /**
   * Submits a request; returns false if a request with the same id is in flight or may have run.
   *
   * @param memory the memory reserved for the request, released by the coordinator unless this
   *     returns false
   */
  boolean submit(ClientRequest request, MemoryBudget.Reservation memory, DownstreamClient client) {
    return coordinator.accept(request, memory, client);
  }

  /** Notifies the coordinator that the client of the given request has disconnected. */
  void clientDisconnected(String requestId) {
    coordinator.clientDisconnected(requestId);
  }

  // ---- Graceful shutdown, in the order of the steps

  /** Makes readiness checks fail; existing and new connections are served as before. */
  public void beginGracefulShutdown() {
    readiness.beginGracefulShutdown();
  }

  /** Closes the listening socket; open connections are still served. */
  public void stopListening() {
    listener.close();
  }

  /**
   * Closes the connections that are idle after a response, and from now on closes each other
   * connection after its next response. Connections that are receiving a request, or have not
   * received their first one yet, stay open: the client has sent or may have sent a request, which
   * must get a response.
   */
  public void closeIdleConnections() {
    closesAfterResponse = true;
    connections.snapshot().stream()
        .filter(ClientConnection::isIdleAfterResponse)
        .forEach(ClientConnection::closeAfterWrites);
  }

  /** Returns whether connections close after their next response. */
  boolean closesAfterResponse() {
    return closesAfterResponse;
  }

  /**
   * Closes all connections without a request in flight, so that a slow sender cannot delay the end
   * of the process. Where a request has arrived in part, responds 408 first.
   */
  public void endIncompleteRequests() {
    connections.snapshot().stream()
        .filter(ClientConnection::isAwaitingRequest)
        .forEach(ClientConnection::endIncompleteRequest);
  }
}
