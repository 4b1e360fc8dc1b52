package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.proxy.http.UpstreamResponse;
import loadbalancer.proxy.telemetry.EventLog;
import loadbalancer.proxy.transport.DirectReadSocketChannel;
import loadbalancer.proxy.transport.RawBytesFilter;

/**
 * A connection to an upstream, which writes the request of one attempt at a time and completes the
 * attempt. The connection is reused only if nothing was received after the complete response, since
 * further bytes belong to no request. Not thread-safe: used on the event loop only.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject>
    implements RawBytesFilter {

  /**
   * The longest time from the first byte of a response to its last. Responses are small and written
   * in one piece, so a response that takes longer is treated as malformed.
   */
  private static final long MAX_RESPONSE_READ_MILLIS = 300;

  private final EndpointConnectionPool pool;
  private final DirectReadSocketChannel channel;
  private final ResponseDecoder decoder;
  private final ResponseReader reader;

  /** The attempt that waits for its response; null if there is none. */
  private UpstreamAttempt attempt;

  /** The write of the last request, pending or done; null before the first request. */
  private ChannelFuture requestWrite;

  /** Set while a response has been received in part; otherwise null. */
  private ScheduledFuture<?> responseTimer;

  private long idleSinceNanos;

  /**
   * Creates the last handler in the pipeline of a connection that is being opened.
   *
   * @param pool the pool that the connection belongs to
   * @param channel the connection's channel
   * @param decoder the decoder in the same pipeline
   */
  UpstreamConnection(
      EndpointConnectionPool pool, DirectReadSocketChannel channel, ResponseDecoder decoder) {
    this.pool = pool;
    this.channel = channel;
    this.decoder = decoder;
    reader = new ResponseReader(pool.responseMemory());
  }

  /**
   * Whether the idle connection is still open and has no unread input. Bytes that the event loop
   * has not read yet, such as a second copy of the last response, would be taken for the response
   * to the next request. After a false result the connection must be closed.
   */
  boolean isReusable() {
    return channel.isOpenWithNoUnreadInput();
  }

  /** Whether any byte has been received since the last request was written. */
  boolean hasReceivedBytes() {
    return reader.hasReceivedBytes();
  }

  /** Records the start of an idle period; called by the pool. */
  void markIdle() {
    idleSinceNanos = System.nanoTime();
  }

  /** When the connection last became idle, by {@link System#nanoTime}. */
  long idleSinceNanos() {
    return idleSinceNanos;
  }

  /** Whether this connection became idle earlier than the other one. */
  boolean isIdleLongerThan(UpstreamConnection other) {
    return idleSinceNanos - other.idleSinceNanos < 0;
  }

  /** Returns the connection to its pool without a request having been written. */
  void release() {
    pool.release(this);
  }

  /** Writes an attempt's request. A response or a connection failure completes the attempt. */
  void send(UpstreamAttempt newAttempt, FullHttpRequest request) {
    attempt = newAttempt;
    reader.expectResponse();
    requestWrite = channel.writeAndFlush(request);
  }

  /**
   * Closes the connection with a TCP reset. After an orderly close, the unsent part of a request
   * could still reach the upstream.
   */
  void abort() {
    if (channel.isOpen()) {
      channel.config().setSoLinger(0);
    }
    close();
  }

  /** Closes the connection without completing the attempt on it. */
  void close() {
    attempt = null;
    cancelResponseTimer();
    reader.discardResponse();
    channel.close();
    pool.remove(this);
  }

  @Override
  public boolean accepts(ByteBuf bytes) {
    pool.recordReceived();
    if (attempt == null) {
      reader.recordUnexpectedInput();
      return false;
    }
    return reader.acceptBytes(bytes);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (attempt == null) {
      reader.recordUnexpectedInput();
    } else {
      reader.read(message);
    }
  }

  /**
   * Completes the attempt if its response is complete. Input after the response does not invalidate
   * it, but prevents the reuse of the connection. Any other unexpected input fails the attempt. A
   * response received in part starts the timer for the rest of it.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (attempt != null && reader.isComplete()) {
      completeWithResponse();
    } else if (reader.hasUnexpectedInput()) {
      closeAndFailAttempt();
    } else if (responseTimer == null && hasPartialResponse()) {
      responseTimer =
          context
              .executor()
              .schedule(this::closeAndFailAttempt, MAX_RESPONSE_READ_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Whether a part of the final response has been received; complete interim ones do not count. */
  private boolean hasPartialResponse() {
    return attempt != null && (decoder.hasUndecodedBytes() || reader.hasFinalResponseHead());
  }

  private void completeWithResponse() {
    UpstreamAttempt completed = attempt;
    attempt = null;
    cancelResponseTimer();
    UpstreamResponse response = reader.response();
    AttemptStatus status = reader.status();
    boolean isReusable = isReusableAfterResponse();
    reader.discardResponse();
    if (isReusable) {
      pool.release(this);
    } else {
      channel.close();
    }
    completed.complete(status, response);
  }

  private boolean isReusableAfterResponse() {
    return !reader.hasUnexpectedInput()
        && !decoder.hasUndecodedBytes()
        && reader.isKeepAlive()
        && requestWrite.isSuccess()
        && channel.isActive();
  }

  private void cancelResponseTimer() {
    if (responseTimer != null) {
      responseTimer.cancel(false);
      responseTimer = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    closeAndFailAttempt();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      EventLog.warnRateLimited(
          "upstream: connection error address=" + pool.address() + " cause=" + cause);
    }
    closeAndFailAttempt();
  }

  /**
   * Closes the connection and fails the attempt on it. The upstream may have run the request if it
   * was written completely or any byte of a response was received.
   */
  private void closeAndFailAttempt() {
    UpstreamAttempt completed = attempt;
    close();
    if (completed != null) {
      boolean mayHaveRun = requestWrite.isSuccess() || reader.hasReceivedBytes();
      completed.complete(mayHaveRun ? AttemptStatus.RESET : AttemptStatus.CONNECT_FAILED, null);
    }
  }
}
