package loadbalancer.proxy.downstream;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.util.concurrent.Future;

/**
 * Writes the responses of one connection and closes it. Not thread-safe: for use on the event loop.
 */
final class ResponseWriter {

  private final ChannelHandlerContext context;
  private int pendingWrites;
  private long pendingSinceNanos;

  /** Creates a writer; responses pass through the outbound handlers before this context. */
  ResponseWriter(ChannelHandlerContext context) {
    this.context = context;
  }

  /** Writes a response, after which the connection stays open. */
  void write(FullHttpResponse response) {
    track(context.writeAndFlush(response));
  }

  /** Writes the last response, and closes the connection after it. */
  void writeLast(FullHttpResponse response) {
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    closeAfter(context.writeAndFlush(response));
  }

  /** Closes the connection after all pending writes, so that no response is truncated. */
  void closeAfterWrites() {
    closeAfter(context.writeAndFlush(Unpooled.EMPTY_BUFFER));
  }

  private void closeAfter(ChannelFuture write) {
    track(write);
    write.addListener(ChannelFutureListener.CLOSE);
  }

  /** Closes the connection immediately; pending writes are dropped. */
  void abort() {
    context.close();
  }

  /** Returns whether a response has been written that the socket has not taken completely. */
  boolean hasPendingWrites() {
    return pendingWrites > 0;
  }

  /**
   * Returns how long writes have been pending without interruption, in nanoseconds; 0 if none are.
   */
  long pendingNanos(long nowNanos) {
    return hasPendingWrites() ? nowNanos - pendingSinceNanos : 0;
  }

  private void track(ChannelFuture write) {
    if (write.isDone()) {
      return;
    }
    if (pendingWrites == 0) {
      pendingSinceNanos = System.nanoTime();
    }
    pendingWrites++;
    write.addListener(this::writeCompleted);
  }

  private void writeCompleted(Future<? super Void> write) {
    pendingWrites--;
  }
}
