package loadbalancer.proxy.transport;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/**
 * The socket of a connection to a client or an upstream, which can be asked what the event loop has
 * not read yet. For the event loop's thread only.
 */
public final class PeekableSocketChannel extends NioSocketChannel {

  /** Returned in place of a number of bytes where the peer has closed, or the connection broke. */
  private static final int END_OF_STREAM = -1;

  private static final int SKIP_BUFFER_BYTES = 4096;

  /** Makes a socket that is to be connected. */
  public PeekableSocketChannel() {}

  /**
   * Makes the channel of an accepted socket.
   *
   * @param listener the channel that accepted it
   * @param socket the socket
   */
  public PeekableSocketChannel(Channel listener, SocketChannel socket) {
    super(listener, socket);
  }

  /**
   * Whether the connection is up and nothing waits unread on it, neither bytes nor the peer's end.
   * Drops the first unread byte, so a connection on which something waits is not to be read again.
   */
  public boolean isOpenWithNothingUnread() {
    return skipOneByte() == 0;
  }

  /**
   * Drops unread bytes.
   *
   * @param maxBytes the most bytes to drop, above 0
   * @return the number of bytes dropped, 0 where nothing waits, or -1 where the peer's end was
   *     reached or the connection is broken
   */
  public int skip(int maxBytes) {
    int skipped = skipOneByte();
    if (skipped <= 0) {
      return skipped;
    }
    ByteBuffer buffer = ByteBuffer.allocate(SKIP_BUFFER_BYTES);
    try {
      while (skipped < maxBytes) {
        buffer.clear().limit(Math.min(SKIP_BUFFER_BYTES, maxBytes - skipped));
        int read = javaChannel().read(buffer);
        if (read < 0) {
          return END_OF_STREAM;
        }
        if (read == 0) {
          return skipped;
        }
        skipped += read;
      }
    } catch (IOException e) {
      return END_OF_STREAM;
    }
    return skipped;
  }

  /** Separate from {@link #skip}, so that a socket with nothing unread costs no large buffer. */
  private int skipOneByte() {
    try {
      return isActive() ? javaChannel().read(ByteBuffer.allocate(1)) : END_OF_STREAM;
    } catch (IOException e) {
      return END_OF_STREAM;
    }
  }
}
