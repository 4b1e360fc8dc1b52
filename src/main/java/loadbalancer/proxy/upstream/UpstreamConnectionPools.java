package loadbalancer.proxy.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.transport.PeekableSocketChannel;

/**
 * The connections to all upstreams: opens them within a limit and closes those that have been idle
 * too long. All state belongs to the event loop.
 */
public final class UpstreamConnectionPools {

  /**
   * Idle connections are closed at this fraction of the upstream's own timeout: a request written
   * to one that the upstream closes at that moment would end as a reset.
   */
  private static final double IDLE_TIMEOUT_FRACTION = 0.7;

  /** Sweeps for idle connections in the time after which one is closed. */
  private static final int SWEEPS_PER_IDLE_TIMEOUT = 20;

  private static final long MIN_SWEEP_PERIOD_NANOS = 1_000_000L;
  private static final long MIN_CONNECT_TIMEOUT_MILLIS = 1;

  private final Bootstrap bootstrap;
  private final int maxConnections;
  private final long maxIdleNanos;
  private final Set<EndpointConnectionPool> pools = new LinkedHashSet<>();
  private final Future<?> idleSweep;
  private int openConnections;

  /**
   * Makes pools on TCP sockets.
   *
   * @param eventLoop the thread of all connections
   * @param limits the limits on connections to all upstreams
   */
  public UpstreamConnectionPools(EventLoop eventLoop, ConnectionLimits limits) {
    this(eventLoop, limits, PeekableSocketChannel::new);
  }

  /**
   * Makes pools on the sockets of a factory.
   *
   * @param eventLoop the thread of all connections
   * @param limits the limits on connections to all upstreams
   * @param channelFactory makes sockets of type {@link PeekableSocketChannel}
   */
  public UpstreamConnectionPools(
      EventLoop eventLoop, ConnectionLimits limits, ChannelFactory<Channel> channelFactory) {
    maxConnections = limits.maxConnections();
    maxIdleNanos = (long) (limits.idleTimeoutNanos() * IDLE_TIMEOUT_FRACTION);
    long connectTimeoutMillis =
        Math.max(
            MIN_CONNECT_TIMEOUT_MILLIS,
            TimeUnit.NANOSECONDS.toMillis(limits.connectTimeoutNanos()));
    bootstrap =
        new Bootstrap()
            .group(eventLoop)
            .channelFactory(channelFactory)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeoutMillis);
    long periodNanos = Math.max(MIN_SWEEP_PERIOD_NANOS, maxIdleNanos / SWEEPS_PER_IDLE_TIMEOUT);
    idleSweep =
        eventLoop.scheduleAtFixedRate(
            this::closeLongIdle, periodNanos, periodNanos, TimeUnit.NANOSECONDS);
  }

  /** Makes the pool of an upstream that is new or has a new address. */
  public EndpointConnectionPool createPool(InetSocketAddress address) {
    EndpointConnectionPool pool = new EndpointConnectionPool(this, address);
    pools.add(pool);
    return pool;
  }

  /**
   * Opens a connection; empty where the limit on connections, or the process's limit on
   * descriptors, leaves none.
   */
  Optional<ChannelFuture> connect(EndpointConnectionPool pool) {
    if (openConnections >= maxConnections && !closeLongestIdle()) {
      return Optional.empty();
    }
    ChannelFuture connecting =
        bootstrap.clone().handler(new ConnectionInitializer(pool)).connect(pool.address());
    if (!connecting.channel().isRegistered()) {
      // No socket was made: Netty would never signal its close, and its failure on another thread.
      return Optional.empty();
    }
    openConnections++;
    connecting.channel().closeFuture().addListener(closed -> openConnections--);
    return Optional.of(connecting);
  }

  /** Removes a pool that has been closed. */
  void remove(EndpointConnectionPool pool) {
    pools.remove(pool);
  }

  /** Closes all pools and stops the sweeps for idle connections. */
  public void close() {
    idleSweep.cancel(false);
    List.copyOf(pools).forEach(EndpointConnectionPool::close);
  }

  private void closeLongIdle() {
    long idleSinceNanos = System.nanoTime() - maxIdleNanos;
    pools.forEach(pool -> pool.closeIdleSince(idleSinceNanos));
  }

  /** Closes the connection that has been idle longest; false where none is idle. */
  private boolean closeLongestIdle() {
    UpstreamConnection longestIdle = null;
    for (EndpointConnectionPool pool : pools) {
      UpstreamConnection candidate = pool.longestIdle();
      if (candidate == null) {
        continue;
      }
      if (longestIdle == null || candidate.isIdleLongerThan(longestIdle)) {
        longestIdle = candidate;
      }
    }
    if (longestIdle == null) {
      return false;
    }
    longestIdle.close();
    return true;
  }

  /** Sets up the handlers of a connection that is coming up. */
  private static final class ConnectionInitializer extends ChannelInitializer<Channel> {

    private final EndpointConnectionPool pool;

    ConnectionInitializer(EndpointConnectionPool pool) {
      this.pool = pool;
    }

    @Override
    protected void initChannel(Channel channel) {
      ResponseDecoder decoder = new ResponseDecoder();
      UpstreamConnection connection =
          new UpstreamConnection(pool, (PeekableSocketChannel) channel, decoder);
      decoder.setFilter(connection);
      channel.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
    }
  }
}
