package loadbalancer.proxy.downstream;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import loadbalancer.proxy.transport.DirectReadServerSocketChannel;
import loadbalancer.proxy.transport.HeapBuffers;

/**
 * The listening socket for client connections; accepting can be paused and resumed. Not
 * thread-safe: all methods except {@link #bind} must be called on the event loop.
 */
final class ConnectionListener {

  /** The maximum number of connections that the kernel queues until they are accepted. */
  private static final int BACKLOG_CONNECTIONS = 1024;

  /**
   * Reads are small, and few are made before the event loop turns to the next connection. This
   * bounds how long a client that sends continuously delays the others.
   */
  private static final int READ_BYTES = 4096;

  private static final int MAX_READS_PER_TURN = 2;

  /**
   * More than one, so that new connections need not wait for as many turns as there are others
   * before them; few, so that a burst of them delays the open connections little.
   */
  private static final int MAX_ACCEPTS_PER_TURN = 16;

  private final EventLoop loop;
  private final IntSupplier freePlaces;

  /** Null until bound. */
  private Channel channel;

  /**
   * Creates a listener.
   *
   * @param loop accepts the connections and serves them
   * @param freePlaces the number of connections that may be accepted, called on the event loop
   */
  ConnectionListener(EventLoop loop, IntSupplier freePlaces) {
    this.loop = loop;
    this.freePlaces = freePlaces;
  }

  /**
   * Binds the socket and starts accepting connections. Blocks until the socket is bound, so it must
   * not be called on the event loop.
   *
   * @param address the address to listen on; port 0 selects any free port
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
            .channelFactory(() -> new DirectReadServerSocketChannel(freePlaces))
            .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_TURN))
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
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

  /** Stops accepting until {@link #resumeAccepting}; new connections wait in the backlog. */
  void pauseAccepting() {
    channel.config().setAutoRead(false);
  }

  /** Resumes accepting; does nothing if the listener is not bound or has been closed. */
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
