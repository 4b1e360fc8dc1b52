package loadbalancer.proxy.downstream;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.proxy.coordinator.DownstreamClient;
import loadbalancer.proxy.coordinator.RequestCoordinator;
import loadbalancer.proxy.http.ClientRequest;
import loadbalancer.proxy.transport.PeekableServerSocketChannel;

/** The listening side: client connections, readiness, and the end of both at a planned stop. */
public final class DownstreamServer {

  private static final int BACKLOG = 1024;

  /**
   * Read a piece at a time and few pieces in a row, or one client that floods would keep all others
   * waiting.
   */
  private static final int READ_BYTES = 4096;

  private static final int READS_IN_A_ROW = 2;

  /**
   * Accepted at a time: each is counted before the next one, or a crowd would come in far over the
   * limit.
   */
  private static final int ACCEPTS_IN_A_ROW = 1;

  private final EventLoop loop;
  private final PolicySettings settings;
  private final ClientRequestParser requestParser;
  private final RequestCoordinator core;
  private final int most;

  /** The connection that got its last answer longest ago comes first. */
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  private Channel listener;
  private boolean ready;
  private boolean draining;
  private boolean closing;
  private String warmUpPath;

  /** Makes a server that holds at most {@code most} connections. */
  public DownstreamServer(
      EventLoop loop, PolicySettings settings, RequestCoordinator core, int most) {
    this.loop = loop;
    this.settings = settings;
    requestParser = new ClientRequestParser(settings);
    this.core = core;
    this.most = most;
  }

  /**
   * Responds to requests for this path with 200 until {@link #setReady}; to be called before {@link
   * #listen}.
   */
  public void setWarmUpPath(String path) {
    warmUpPath = path;
  }

  /** Listens; waits for the bind, so it is not to be called on the loop. */
  public InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
    listener =
        new ServerBootstrap()
            .group(loop, loop)
            .channelFactory(PeekableServerSocketChannel::new)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(1).maxMessagesPerRead(ACCEPTS_IN_A_ROW))
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(READS_IN_A_ROW))
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    ClientConnection handler = new ClientConnection(DownstreamServer.this);
                    channel
                        .pipeline()
                        .addLast(new RequestDecoder(handler), new HttpResponseEncoder(), handler);
                    opened(handler);
                  }
                })
            .bind(address)
            .sync()
            .channel();
    loop.execute(new ConnectionTimeouts(loop, this, most)::start);
    return (InetSocketAddress) listener.localAddress();
  }

  public void setReady() {
    ready = true;
    warmUpPath = null;
  }

  boolean isReady() {
    return ready && !draining;
  }

  /** Whether each answer is its connection's last. */
  boolean closesAfterResponse() {
    return closing;
  }

  ClientRequestParser requestParser() {
    return requestParser;
  }

  public PolicySettings settings() {
    return settings;
  }

  /**
   * Whether this is where the balancer's own warm-up asks: nobody else knows the path, and it ends
   * with that.
   */
  boolean isWarmUpPath(String uri) {
    return uri.equals(warmUpPath);
  }

  /** All connections, the one that got its last answer longest ago first. */
  public List<ClientConnection> connections() {
    return List.copyOf(connections);
  }

  public int openConnections() {
    return connections.size();
  }

  boolean submit(ClientRequest request, DownstreamClient client) {
    return core.accept(request, client);
  }

  void clientDisconnected(String id) {
    core.clientDisconnected(id);
  }

  /**
   * At the limit the longest idle connection gives way at once, or a crowd of clients, and the
   * front's question whether this balancer is up, would wait in line; with none nothing is accepted
   * until {@link ConnectionTimeouts} has made room.
   */
  private void opened(ClientConnection handler) {
    connections.add(handler);
    if (connections.size() >= most) {
      connections.stream()
          .filter(c -> c != handler && c.isIdle() && !c.isNeverUsed())
          .findFirst()
          .ifPresentOrElse(ClientConnection::close, () -> listener.config().setAutoRead(false));
    }
  }

  void closed(ClientConnection handler) {
    connections.remove(handler);
    if (connections.size() < most && listener != null && listener.isOpen()) {
      listener.config().setAutoRead(true);
    }
  }

  void becameIdle(ClientConnection handler) {
    if (connections.remove(handler)) {
      connections.add(handler);
    }
  }

  /**
   * Begins a planned stop: the front is told to send no more clients; those that are here are
   * served on.
   */
  public void beginGracefulShutdown() {
    draining = true;
  }

  /** Accepts no more. */
  public void stopListening() {
    listener.close();
  }

  /**
   * Each answer is its connection's last from now on, and those between two requests end now. A
   * request that has come in part is owed its answer once it is whole; so is the first one of a new
   * connection, which may be on its way.
   */
  public void closeIdleConnections() {
    closing = true;
    connections().stream()
        .filter(c -> c.isIdle() && !c.isNeverUsed())
        .forEach(ClientConnection::close);
  }

  /**
   * Waits no longer for what has not come whole: a slow sender must not keep the process from its
   * end.
   */
  public void endIncompleteRequests() {
    connections().stream()
        .filter(ClientConnection::isAwaitingRequest)
        .forEach(
            c -> {
              if (c.isIdle()) {
                c.close();
              } else {
                c.expire();
              }
            });
  }
}
