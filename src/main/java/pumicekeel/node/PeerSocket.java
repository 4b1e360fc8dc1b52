package pumicekeel.node;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/** The socket of a connection to a client or an upstream, which can be asked what the event loop has not read yet. */
final class PeerSocket extends NioSocketChannel {

  /** A socket to connect. */
  PeerSocket() {}

  /** A socket that {@code listener} has accepted. */
  PeerSocket(Channel listener, SocketChannel socket) {
    super(listener, socket);
  }

  /** What waits unread: 0 for nothing, 1 for bytes, of which this takes the first, and -1 for the peer's end. */
  int ahead() {
    try {
      return isActive() ? javaChannel().read(ByteBuffer.allocate(1)) : -1;
    } catch (IOException e) {
      return -1;
    }
  }
}
