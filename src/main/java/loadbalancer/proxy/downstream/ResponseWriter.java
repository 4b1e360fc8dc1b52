package loadbalancer.proxy.downstream;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.util.concurrent.Future;
import loadbalancer.proxy.http.MemoryBudget;

/**
 * Writes the responses of one connection and closes it. Not thread-safe: for use on the event loop.
 */
final class ResponseWriter {

  private final ChannelHandlerContext context;
  private final ResponseMemoryPool memoryPool;
  private final MemoryBudget.Reservation memory;
  private int pendingWrites;
  private long pendingSinceNanos;

  /**
   * Creates a writer.
   *
   * @param context the responses pass through the outbound handlers before it
   * @param memoryPool the memory of responses that the clients do not read
   */
  ResponseWriter(ChannelHandlerContext context, ResponseMemoryPool memoryPool) {
    this.context = context;
    this.memoryPool = memoryPool;
    memory = memoryPool.newReservation();
  }

  /** Writes a response, after which the connection stays open. */
  void write(FullHttpResponse response) {
    int bytes = response.content().readableBytes();
    track(context.writeAndFlush(response), bytes);
  }

  /** Writes the last response, and closes the connection after it. */
  void writeLast(FullHttpResponse response) {
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    int bytes = response.content().readableBytes();
    closeAfter(context.writeAndFlush(response), bytes);
  }

  /** Closes the connection after all pending writes, so that no response is truncated. */
  void closeAfterWrites() {
    closeAfter(context.writeAndFlush(Unpooled.EMPTY_BUFFER), 0);
  }

  private void closeAfter(ChannelFuture write, int bytes) {
    track(write, bytes);
    write.addListener(ChannelFutureListener.CLOSE);
  }

  /** Closes the connection immediately; pending writes are dropped. */
  void abort() {
    context.close();
  }

  /** Returns whether a response has been written that the socket has not taken completely. */
  boolean hasPendingWrites() {
    return pendingWrites > 0 && context.channel().isOpen();
  }

  /**
   * Returns how long writes have been pending without interruption, in nanoseconds; 0 if none are.
   */
  long pendingNanos(long nowNanos) {
    return hasPendingWrites() ? nowNanos - pendingSinceNanos : 0;
  }

  /** A response whose writing has failed can never be completed, so its connection is closed. */
  private void track(ChannelFuture write, int bytes) {
    if (write.isSuccess()) {
      return;
    }
    if (pendingWrites == 0) {
      pendingSinceNanos = System.nanoTime();
    }
    pendingWrites++;
    write.addListener(this::writeCompleted);
    if (hasPendingWrites() && !memoryPool.add(memory, bytes)) {
      abort();
    }
    if (!hasPendingWrites()) {
      // The connection has been closed, by the pool or by a failed write.
      memory.release();
    }
  }

  private void writeCompleted(Future<? super Void> write) {
    pendingWrites--;
    if (!write.isSuccess()) {
      abort();
    }
    if (pendingWrites == 0) {
      memory.release();
    }
  }
}
