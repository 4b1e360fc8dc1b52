package loadbalancer.proxy.downstream;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import loadbalancer.proxy.transport.DirectReadServerSocketChannel;

/**
 * The listening socket: accepts client connections, and can pause accepting. All methods but {@link
 * #bind} are to be called on the event loop.
 */
final class ConnectionListener {

  /** Connections that the kernel holds until they are accepted. */
  private static final int BACKLOG_CONNECTIONS = 1024;

  /**
   * Small reads, and few before the next connection's turn, bound how long a client that sends
   * without pause delays the others.
   */
  private static final int READ_BYTES = 4096;

  private static final int MAX_READS_PER_TURN = 2;

  /** Each connection is counted before the next one is accepted, so the limit is kept exactly. */
  private static final int MAX_ACCEPTS_PER_TURN = 1;

  private final EventLoop loop;

  /** Null until bound. */
  private Channel channel;

  /** Makes a listener whose connections are served by this loop. */
  ConnectionListener(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Binds and starts accepting; waits for the bind, so it must not be called on the event loop.
   *
   * @param address the address to listen at; port 0 for any free port
   * @param connectionInitializer sets up the pipeline of each accepted connection, on the event
   *     loop
   * @return the bound address
   * @throws InterruptedException if interrupted while waiting for the bind
   */
  InetSocketAddress bind(InetSocketAddress address, Consumer<Channel> connectionInitializer)
      throws InterruptedException {
    channel =
        new ServerBootstrap()
            .group(loop, loop)
            .channelFactory(DirectReadServerSocketChannel::new)
            .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(1).maxMessagesPerRead(MAX_ACCEPTS_PER_TURN))
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(MAX_READS_PER_TURN))
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel connection) {
                    connectionInitializer.accept(connection);
                  }
                })
            .bind(address)
            .sync()
            .channel();
    return (InetSocketAddress) channel.localAddress();
  }

  /** Accepts nothing until {@link #resumeAccepting}; new connections wait in the backlog. */
  void pauseAccepting() {
    channel.config().setAutoRead(false);
  }

  /** Accepts again; does nothing where the listener is not bound or has been closed. */
  void resumeAccepting() {
    if (channel != null && channel.isOpen()) {
      channel.config().setAutoRead(true);
    }
  }

  /** Closes the listening socket; accepted connections stay open. */
  void close() {
    channel.close();
  }
}
