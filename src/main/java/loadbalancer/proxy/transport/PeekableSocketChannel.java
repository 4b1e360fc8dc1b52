package loadbalancer.proxy.transport;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/**
 * The socket of a connection to a client or an upstream, which can be asked what the event loop has
 * not read yet.
 */
public final class PeekableSocketChannel extends NioSocketChannel {

  private static final int SKIP_BYTES = 4096;

  /** A socket to connect. */
  public PeekableSocketChannel() {}

  /** A socket that {@code listener} has accepted. */
  public PeekableSocketChannel(Channel listener, SocketChannel socket) {
    super(listener, socket);
  }

  /**
   * What waits unread: 0 for nothing, 1 for bytes, of which this takes the first, and -1 for the
   * peer's end.
   */
  public int ahead() {
    try {
      return isActive() ? javaChannel().read(ByteBuffer.allocate(1)) : -1;
    } catch (IOException e) {
      return -1;
    }
  }

  /**
   * Takes what waits unread, at most so many bytes: how many that were, or -1 where the peer's end
   * lies behind them.
   */
  public int skip(int most) {
    int skipped = ahead();
    if (skipped <= 0) {
      return skipped;
    }
    ByteBuffer bytes = ByteBuffer.allocate(SKIP_BYTES);
    try {
      while (skipped < most) {
        int read = javaChannel().read(bytes.clear().limit(Math.min(SKIP_BYTES, most - skipped)));
        if (read <= 0) {
          return read < 0 ? -1 : skipped;
        }
        skipped += read;
      }
    } catch (IOException e) {
      return -1;
    }
    return skipped;
  }
}
