package loadbalancer.proxy.transport;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * A server channel that accepts connections as {@link DirectReadSocketChannel}s, in each turn of
 * the event loop at most as many as there are free places.
 */
public final class DirectReadServerSocketChannel extends NioServerSocketChannel {

  private final IntSupplier freePlaces;

  /**
   * Creates a channel that is not bound yet.
   *
   * @param freePlaces the number of connections that may be accepted, called on the event loop; the
   *     connections accepted in a turn are counted only at its end
   */
  public DirectReadServerSocketChannel(IntSupplier freePlaces) {
    this.freePlaces = freePlaces;
  }

  @Override
  protected int doReadMessages(List<Object> accepted) throws IOException {
    if (!accepted.isEmpty() && accepted.size() >= freePlaces.getAsInt()) {
      return 0;
    }
    SocketChannel socket = javaChannel().accept();
    if (socket == null) {
      return 0;
    }
    accepted.add(new DirectReadSocketChannel(this, socket));
    return 1;
  }
}
