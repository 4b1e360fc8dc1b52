package loadbalancer.proxy.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
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
import loadbalancer.proxy.http.MemoryBudget;
import loadbalancer.proxy.transport.DirectReadSocketChannel;
import loadbalancer.proxy.transport.HeapBuffers;

/**
 * The connection pools of all upstreams. Opens connections within one common limit and closes those
 * that have been idle for too long. Not thread-safe: used on the event loop only.
 */
public final class UpstreamConnectionPools {

  /**
   * Idle connections are closed after this fraction of the upstream's idle timeout. A request
   * written at the moment at which the upstream closes the connection would end in a reset.
   */
  private static final double IDLE_TIMEOUT_FRACTION = 0.7;

  /** The number of sweeps in the time after which an idle connection is closed. */
  private static final int SWEEPS_PER_IDLE_TIMEOUT = 20;

  private static final long MIN_SWEEP_PERIOD_NANOS = 1_000_000L;
  private static final long MIN_CONNECT_TIMEOUT_MILLIS = 1;

  /**
   * The smallest, first and largest buffer for a read. One turn of the event loop reads at most a
   * response of the maximum length.
   */
  private static final int MIN_READ_BYTES = 512;

  private static final int INITIAL_READ_BYTES = 2048;
  private static final int MAX_READ_BYTES = 16 << 10;
  private static final int MAX_READS_PER_TURN = 5;

  /** Fraction of the heap available to the bodies of responses that are being received. */
  private static final double RESPONSE_HEAP_FRACTION = 0.125;

  private final Bootstrap bootstrap;
  private final int maxConnections;
  private final long maxIdleNanos;
  private final Set<EndpointConnectionPool> pools = new LinkedHashSet<>();
  private final Future<?> idleSweep;
  private final MemoryBudget responseMemory = MemoryBudget.ofMaxHeap(RESPONSE_HEAP_FRACTION);
  private int openConnections;

  /**
   * Creates pools of TCP connections.
   *
   * @param eventLoop the event loop of all connections
   * @param limits the limits on connections to all upstreams
   */
  public UpstreamConnectionPools(EventLoop eventLoop, ConnectionLimits limits) {
    this(eventLoop, limits, DirectReadSocketChannel::new);
  }

  /**
   * Creates pools whose connections use the channels of a factory.
   *
   * @param eventLoop the event loop of all connections
   * @param limits the limits on connections to all upstreams
   * @param channelFactory creates channels of type {@link DirectReadSocketChannel}
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
            .option(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                    .maxMessagesPerRead(MAX_READS_PER_TURN))
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeoutMillis);
    long periodNanos = Math.max(MIN_SWEEP_PERIOD_NANOS, maxIdleNanos / SWEEPS_PER_IDLE_TIMEOUT);
    idleSweep =
        eventLoop.scheduleAtFixedRate(
            this::closeExpiredIdle, periodNanos, periodNanos, TimeUnit.NANOSECONDS);
  }

  /** Creates the pool of an upstream that is new, has a new address or returns to the list. */
  public EndpointConnectionPool createPool(InetSocketAddress address) {
    EndpointConnectionPool pool = new EndpointConnectionPool(this, address);
    pools.add(pool);
    return pool;
  }

  /**
   * Opens a connection. At the limit on connections, the connection that has been idle longest is
   * closed first. Empty if none is idle, or if the process has no file descriptor left.
   */
  Optional<ChannelFuture> connect(EndpointConnectionPool pool) {
    if (openConnections >= maxConnections && !closeLongestIdle()) {
      return Optional.empty();
    }
    ChannelFuture connectFuture =
        bootstrap.clone().handler(new ConnectionInitializer(pool)).connect(pool.address());
    if (!connectFuture.channel().isRegistered()) {
      // No socket was created. Netty would never complete the channel's close future, and would
      // report the failure on another thread.
      return Optional.empty();
    }
    openConnections++;
    connectFuture.channel().closeFuture().addListener(closed -> openConnections--);
    return Optional.of(connectFuture);
  }

  /** The memory that the responses on all connections may take together. */
  MemoryBudget responseMemory() {
    return responseMemory;
  }

  /** Removes a closed pool; its open connections still count towards the limit. */
  void remove(EndpointConnectionPool pool) {
    pools.remove(pool);
  }

  /** Closes all pools and stops the idle sweeps. */
  public void close() {
    idleSweep.cancel(false);
    List.copyOf(pools).forEach(EndpointConnectionPool::close);
  }

  private void closeExpiredIdle() {
    long idleSinceNanos = System.nanoTime() - maxIdleNanos;
    pools.forEach(pool -> pool.closeIdleSince(idleSinceNanos));
  }

  /** Closes the connection that has been idle longest; returns false if none is idle. */
  private boolean closeLongestIdle() {
    UpstreamConnection longestIdle = null;
    for (EndpointConnectionPool pool : pools) {
      UpstreamConnection poolLongestIdle = pool.longestIdle();
      if (poolLongestIdle == null) {
        continue;
      }
      if (longestIdle == null || poolLongestIdle.isIdleLongerThan(longestIdle)) {
        longestIdle = poolLongestIdle;
      }
    }
    if (longestIdle == null) {
      return false;
    }
    longestIdle.close();
    return true;
  }

  /** Sets up the pipeline of a connection that is being opened. */
  private static final class ConnectionInitializer extends ChannelInitializer<Channel> {

    private final EndpointConnectionPool pool;

    ConnectionInitializer(EndpointConnectionPool pool) {
      this.pool = pool;
    }

    @Override
    protected void initChannel(Channel channel) {
      ResponseDecoder decoder = new ResponseDecoder();
      UpstreamConnection connection =
          new UpstreamConnection(pool, (DirectReadSocketChannel) channel, decoder);
      decoder.setFilter(connection);
      channel.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
    }
  }
}
