package loadbalancer.proxy.downstream;

import io.netty.channel.Channel;
import loadbalancer.proxy.transport.DirectReadSocketChannel;

/**
 * Counts the bytes of a connection that were discarded. Input behind a request in flight is read
 * and discarded, since only reading shows a disconnect; more than the limit is a flood.
 */
final class DiscardedInput {

  private static final int MAX_DISCARDED_BYTES = 64 << 10;

  private long discardedBytes;

  /** Counts discarded bytes. */
  void add(int bytes) {
    discardedBytes += bytes;
  }

  /** Whether more than the limit was discarded. */
  boolean isFlood() {
    return discardedBytes > MAX_DISCARDED_BYTES;
  }

  /**
   * Takes unread input from the channel's socket, at most until it is a flood, without counting it.
   *
   * @return the number of bytes taken, or -1 where the client's disconnect lies behind them
   */
  int skipUnread(Channel channel) {
    int bytesUntilFlood = (int) (MAX_DISCARDED_BYTES + 1 - discardedBytes);
    if (bytesUntilFlood > 0 && channel instanceof DirectReadSocketChannel socket) {
      return socket.skip(bytesUntilFlood);
    }
    return 0;
  }
}
