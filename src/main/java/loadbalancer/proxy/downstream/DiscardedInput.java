package loadbalancer.proxy.downstream;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponseStatus;
import loadbalancer.proxy.http.InvalidRequestException;
import loadbalancer.proxy.transport.DirectReadSocketChannel;

/**
 * Counts the discarded input of one connection. Input that follows a request in flight is read and
 * discarded, because a disconnect is detected only by reading. A client that sends more than the
 * limit gets a 400 instead. Not thread-safe: for use on the event loop.
 */
final class DiscardedInput {

  private static final int MAX_DISCARDED_BYTES = 64 << 10;

  private long discardedBytes;

  /** Adds to the number of discarded bytes. */
  void add(int bytes) {
    discardedBytes += bytes;
  }

  /** Returns the reason to reject a client that exceeds the limit. */
  static InvalidRequestException limitExceeded() {
    return new InvalidRequestException(
        HttpResponseStatus.BAD_REQUEST.code(),
        "input while a request is in flight: must be at most " + MAX_DISCARDED_BYTES + " bytes");
  }

  /** Returns whether more bytes were discarded than the limit allows. */
  boolean exceedsLimit() {
    return discardedBytes > MAX_DISCARDED_BYTES;
  }

  /**
   * Reads and drops input that waits in the channel's socket, at most one byte more than the limit
   * still allows. The caller has to count it by {@link #add}.
   *
   * @return the number of bytes dropped, or -1 if the client's disconnect was reached
   */
  int skipUnread(Channel channel) {
    int bytesUntilOverLimit = (int) (MAX_DISCARDED_BYTES + 1 - discardedBytes);
    if (bytesUntilOverLimit > 0 && channel instanceof DirectReadSocketChannel socket) {
      return socket.skip(bytesUntilOverLimit);
    }
    return 0;
  }
}
