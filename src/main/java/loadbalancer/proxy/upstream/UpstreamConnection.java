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
import loadbalancer.proxy.transport.PeekableSocketChannel;
import loadbalancer.proxy.transport.RawBytesFilter;

/**
 * A connection to an upstream: writes the request of one attempt at a time and completes the
 * attempt. The connection is reused only if a read ended with a complete response and nothing
 * behind it: any further bytes belong to no request. All state belongs to the event loop.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject>
    implements RawBytesFilter {

  /**
   * The longest time from a response's first byte to its last: responses are small and written in
   * one piece, so one that stalls is malformed.
   */
  private static final long MAX_RESPONSE_READ_MILLIS = 300;

  private final EndpointConnectionPool pool;
  private final PeekableSocketChannel channel;
  private final ResponseDecoder decoder;
  private final ResponseReader reader = new ResponseReader();

  /** The attempt that waits for its response, or null. */
  private UpstreamAttempt attempt;

  private ChannelFuture requestWritten;

  /** Runs while a response has come in part; otherwise null. */
  private ScheduledFuture<?> responseTimer;

  private long idleSinceNanos;

  /**
   * Makes the last handler of a connection that is coming up.
   *
   * @param pool the pool that the connection belongs to
   * @param channel the connection's socket
   * @param decoder the connection's decoder
   */
  UpstreamConnection(
      EndpointConnectionPool pool, PeekableSocketChannel channel, ResponseDecoder decoder) {
    this.pool = pool;
    this.channel = channel;
    this.decoder = decoder;
  }

  /**
   * False where the peer has closed the connection, or unexpected bytes wait on it that the event
   * loop has not read: a second copy of the last response would be taken for the response to the
   * next request.
   */
  boolean isReusable() {
    return channel.isOpenWithNothingUnread();
  }

  /** Whether any byte has come since the last request was written. */
  boolean hasReceivedBytes() {
    return reader.hasReceivedBytes();
  }

  /** Called by the pool when it takes the connection in as an idle one. */
  void markIdle() {
    idleSinceNanos = System.nanoTime();
  }

  /** When the connection last became idle, by {@link System#nanoTime}. */
  long idleSinceNanos() {
    return idleSinceNanos;
  }

  /** Whether this connection became idle before the other one did. */
  boolean isIdleLongerThan(UpstreamConnection other) {
    return idleSinceNanos - other.idleSinceNanos < 0;
  }

  /** Returns the connection to its pool unused. */
  void release() {
    pool.release(this);
  }

  /** Writes an attempt's request; the attempt is completed by its response or by an error. */
  void send(UpstreamAttempt next, FullHttpRequest request) {
    attempt = next;
    reader.expectResponse();
    requestWritten = channel.writeAndFlush(request);
  }

  /**
   * Closes the connection with a reset, so that no unsent rest of a request reaches the upstream
   * later, as it could after an orderly close.
   */
  void abort() {
    if (channel.isOpen()) {
      channel.config().setSoLinger(0);
    }
    close();
  }

  /** Closes the connection; an attempt on it is not completed by this. */
  void close() {
    attempt = null;
    cancelResponseTimer();
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
  protected void channelRead0(ChannelHandlerContext context, HttpObject message)
      throws IOException {
    if (attempt == null) {
      reader.recordUnexpectedInput();
    } else {
      reader.read(message);
    }
  }

  /** A complete response counts whatever came behind it; other unexpected input is an error. */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (attempt != null && reader.isComplete()) {
      completeWithResponse();
    } else if (reader.hasUnexpectedInput()) {
      completeAsBroken();
    } else if (responseTimer == null && hasResponseInPart()) {
      responseTimer =
          context
              .executor()
              .schedule(this::completeAsBroken, MAX_RESPONSE_READ_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Whether a part of the final response has come, and not only of interim ones ahead of it. */
  private boolean hasResponseInPart() {
    return attempt != null && (decoder.hasUndecodedBytes() || reader.isReadingFinalResponse());
  }

  private void completeWithResponse() {
    UpstreamAttempt completed = attempt;
    attempt = null;
    cancelResponseTimer();
    UpstreamResponse response = reader.response();
    AttemptStatus status = reader.status();
    if (mayBeReused()) {
      pool.release(this);
    } else {
      channel.close();
    }
    completed.complete(status, response);
  }

  private boolean mayBeReused() {
    return !reader.hasUnexpectedInput()
        && !decoder.hasUndecodedBytes()
        && reader.isKeepAlive()
        && requestWritten.isSuccess()
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
    completeAsBroken();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      EventLog.warnRateLimited(
          "upstream: connection error address=" + pool.address() + " cause=" + cause);
    }
    completeAsBroken();
  }

  /**
   * Closes the connection. The attempt on it may have run if its request's last byte was written,
   * or a byte of a response came.
   */
  private void completeAsBroken() {
    UpstreamAttempt completed = attempt;
    close();
    if (completed != null) {
      boolean mayHaveRun = requestWritten.isSuccess() || reader.hasReceivedBytes();
      completed.complete(mayHaveRun ? AttemptStatus.RESET : AttemptStatus.CONNECT_FAILED, null);
    }
  }
}
