package loadbalancer.proxy.transport;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/**
 * A socket channel that can be checked for input that the event loop has not read yet. The checks
 * read from the socket directly and discard what they read. They must run on the channel's event
 * loop.
 */
public final class DirectReadSocketChannel extends NioSocketChannel {

  /** Returned instead of a number of bytes if the peer has closed or the connection has failed. */
  private static final int END_OF_STREAM = -1;

  private static final int SKIP_BUFFER_BYTES = 4096;

  /** Creates a channel that is not connected yet. */
  public DirectReadSocketChannel() {}

  /**
   * Creates the channel of an accepted connection.
   *
   * @param listener the server channel that accepted the connection
   * @param socket the accepted socket
   */
  public DirectReadSocketChannel(Channel listener, SocketChannel socket) {
    super(listener, socket);
  }

  /**
   * Whether the connection is open and has no unread input, neither bytes nor the end of the
   * stream. Discards the first unread byte, so the connection must not be used after a false
   * result.
   */
  public boolean isOpenWithNoUnreadInput() {
    return skipOneByte() == 0;
  }

  /**
   * Discards unread bytes. Does not block.
   *
   * @param maxBytes the largest number of bytes to discard, above 0
   * @return the number of discarded bytes, 0 if there are none, or -1 if the end of the stream was
   *     reached or the connection has failed
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

  /** Uses a buffer of one byte, so that a check of a socket without unread input stays cheap. */
  private int skipOneByte() {
    try {
      return isActive() ? javaChannel().read(ByteBuffer.allocate(1)) : END_OF_STREAM;
    } catch (IOException e) {
      return END_OF_STREAM;
    }
  }
}
