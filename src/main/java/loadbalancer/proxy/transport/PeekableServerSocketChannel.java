package loadbalancer.proxy.transport;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;

/** The listening socket: what it accepts can be asked whether its client is still there. */
public final class PeekableServerSocketChannel extends NioServerSocketChannel {

  @Override
  protected int doReadMessages(List<Object> accepted) throws IOException {
    SocketChannel socket = javaChannel().accept();
    if (socket == null) {
      return 0;
    }
    accepted.add(new PeekableSocketChannel(this, socket));
    return 1;
  }
}
