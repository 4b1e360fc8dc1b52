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
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.transport.PeekableSocketChannel;

/**
 * Connections to all upstreams: opens them, keeps them few and closes those that have stood idle.
 */
public final class UpstreamConnectionPools {

  /**
   * Idle connections go at this part of the upstream's own limit: one written to after that would
   * end as a reset.
   */
  private static final double IDLE_PART = 0.7;

  private static final int SWEEPS = 20;

  private final Bootstrap bootstrap;
  private final int most;
  private final long idleNanos;
  private final Set<EndpointConnectionPool> pools = new LinkedHashSet<>();
  private final Future<?> sweep;
  private int open;

  public UpstreamConnectionPools(EventLoop loop, ConnectionLimits limits) {
    this(loop, limits, PeekableSocketChannel::new);
  }

  /** One whose sockets {@code sockets} makes. */
  public UpstreamConnectionPools(
      EventLoop loop, ConnectionLimits limits, ChannelFactory<Channel> sockets) {
    most = limits.maxConnections();
    idleNanos = (long) (limits.idleTimeoutNanos() * IDLE_PART);
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channelFactory(sockets)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.max(1, limits.connectTimeoutNanos() / 1_000_000));
    long period = Math.max(1_000_000, idleNanos / SWEEPS);
    sweep = loop.scheduleAtFixedRate(this::closeOld, period, period, TimeUnit.NANOSECONDS);
  }

  /** The pool of an upstream that is new or has a new address. */
  public EndpointConnectionPool createPool(InetSocketAddress address) {
    EndpointConnectionPool pool = new EndpointConnectionPool(this, address);
    pools.add(pool);
    return pool;
  }

  /**
   * Opens a connection; null where the limit on sockets, or the process's on descriptors, leaves no
   * room for one.
   */
  ChannelFuture connect(EndpointConnectionPool pool) {
    if (open >= most && !closeOldest()) {
      return null;
    }
    ChannelFuture connecting =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    ResponseDecoder decoder = new ResponseDecoder();
                    UpstreamConnection connection =
                        new UpstreamConnection(pool, (PeekableSocketChannel) channel, decoder);
                    decoder.reader(connection);
                    channel.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
                  }
                })
            .connect(pool.address());
    if (!connecting.channel().isRegistered()) {
      // There is no socket: its end would never be told, and its failure only on another thread
      // than the loop's.
      return null;
    }
    open++;
    connecting.channel().closeFuture().addListener(closed -> open--);
    return connecting;
  }

  void forget(EndpointConnectionPool pool) {
    pools.remove(pool);
  }

  /** Ends the pool: closes what is idle and looks for no more. */
  public void close() {
    sweep.cancel(false);
    List.copyOf(pools).forEach(EndpointConnectionPool::close);
  }

  private void closeOld() {
    long before = System.nanoTime() - idleNanos;
    pools.forEach(p -> p.closeOlderThan(before));
  }

  private boolean closeOldest() {
    UpstreamConnection oldest = null;
    for (EndpointConnectionPool pool : pools) {
      UpstreamConnection next = pool.oldest();
      oldest =
          oldest == null || next != null && next.idleSince - oldest.idleSince < 0 ? next : oldest;
    }
    if (oldest != null) {
      oldest.close();
    }
    return oldest != null;
  }
}
