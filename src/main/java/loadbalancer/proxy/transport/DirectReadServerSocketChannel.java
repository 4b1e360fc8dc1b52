package loadbalancer.proxy.transport;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A server channel that accepts connections as {@link DirectReadSocketChannel}s. */
public final class DirectReadServerSocketChannel extends NioServerSocketChannel {

  @Override
  protected int doReadMessages(List<Object> accepted) throws IOException {
    SocketChannel socket = javaChannel().accept();
    if (socket == null) {
      return 0;
    }
    accepted.add(new DirectReadSocketChannel(this, socket));
    return 1;
  }
}
