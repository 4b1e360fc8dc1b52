package loadbalancer.proxy.upstream;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.proxy.http.ClientRequest;
import loadbalancer.proxy.http.RequestHeaders;
import loadbalancer.proxy.http.RequestMessage;
import loadbalancer.proxy.http.UpstreamResponse;
import loadbalancer.proxy.transport.EpochClock;

/** One Send of the module: from the decision to exactly one outcome. */
public final class UpstreamAttempt {

  /**
   * A kept connection that breaks within so long of the request was broken before: no upstream
   * answers as fast.
   */
  private static final long STALE_NANOS = 50_000_000L;

  /** Told how the attempt ended; the answer is null where none came whole. */
  public interface Ending {
    void ended(UpstreamAttempt attempt, AttemptStatus status, UpstreamResponse answer);
  }

  public final int number;
  public final long upstream;
  final long decidedAt;
  private final EndpointConnectionPool pool;
  private final Ending ending;
  private UpstreamConnection connection;
  private ChannelFuture connecting;
  private ScheduledFuture<?> timeout;
  private long timeoutNanos;
  private boolean sent;
  private long sentAt;
  private EpochClock clock;
  private AttemptStatus status;
  private boolean stale;

  public UpstreamAttempt(
      int number, long upstream, long decidedAt, EndpointConnectionPool pool, Ending ending) {
    this.number = number;
    this.upstream = upstream;
    this.decidedAt = decidedAt;
    this.pool = pool;
    this.ending = ending;
  }

  /**
   * Sends on an idle connection or a new one; {@code maySend} is asked again right before the first
   * byte.
   */
  public void start(
      ClientRequest request,
      long timeoutNanos,
      BooleanSupplier maySend,
      EpochClock clock,
      EventLoop loop) {
    this.clock = clock;
    this.timeoutNanos = timeoutNanos;
    timeout =
        loop.schedule(
            () -> end(AttemptStatus.TIMEOUT, null),
            Math.max(0, timeoutNanos),
            TimeUnit.NANOSECONDS);
    UpstreamConnection idle = pool.takeIdle();
    if (idle != null) {
      write(idle, request, timeoutNanos, maySend);
      return;
    }
    connecting = pool.connect();
    if (connecting == null) {
      end(AttemptStatus.CONNECT_FAILED, null);
      return;
    }
    connecting.addListener(
        done -> {
          if (status != null) {
            connecting.channel().close();
          } else if (!done.isSuccess()) {
            end(AttemptStatus.CONNECT_FAILED, null);
          } else {
            write(
                connecting.channel().pipeline().get(UpstreamConnection.class),
                request,
                timeoutNanos,
                maySend);
          }
        });
  }

  private void write(
      UpstreamConnection to, ClientRequest request, long timeoutNanos, BooleanSupplier maySend) {
    if (!maySend.getAsBoolean()) {
      to.giveBack();
      end(AttemptStatus.NOT_SENT, null);
      return;
    }
    connection = to;
    sent = true;
    sentAt = clock.nowNanos();
    long leftMillis = Math.max(1, (timeoutNanos - (sentAt - decidedAt)) / 1_000_000);
    to.send(this, message(request, leftMillis));
  }

  private FullHttpRequest message(ClientRequest request, long leftMillis) {
    RequestMessage received = request.message();
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            received.method(),
            received.uri(),
            Unpooled.wrappedBuffer(received.body()));
    message
        .headers()
        .set(HttpHeaderNames.HOST, received.host())
        .set(RequestHeaders.CORRELATION_ID, request.requestId())
        .set(RequestHeaders.TIME_LEFT_MILLIS, leftMillis)
        .set(HttpHeaderNames.CONTENT_LENGTH, received.body().length);
    if (received.idempotencyKey() != null) {
      message.headers().set(RequestHeaders.IDEMPOTENCY_KEY, received.idempotencyKey());
    }
    if (received.contentType() != null) {
      message.headers().set(HttpHeaderNames.CONTENT_TYPE, received.contentType());
    }
    return message;
  }

  public InetSocketAddress address() {
    return pool.address();
  }

  public boolean out() {
    return status == null;
  }

  /** Whether this attempt may have an effect by now. */
  public boolean mayHaveRun() {
    return sent && (status == null || !status.provesNotRun());
  }

  /** Whether the request found a kept connection broken, of which it could not know. */
  public boolean foundStaleConnection() {
    return stale;
  }

  public long sentAt() {
    return sentAt;
  }

  /** From the decision to the first byte; 0 of one that was not sent. */
  public long unsentNanos() {
    return sent ? sentAt - decidedAt : 0;
  }

  /**
   * From the first byte's writing to the time given, when the answer came; of one that was not
   * sent, from the decision. What passes before the writing is a connect, which a slow loop makes
   * long, and no upstream's work.
   */
  public long latencyNanos(long until) {
    return Math.max(0, until - (sent ? sentAt : decidedAt));
  }

  /**
   * Ends the attempt once; one that ends otherwise than by an answer takes its connection with it.
   */
  public void end(AttemptStatus how, UpstreamResponse answer) {
    if (status != null) {
      return;
    }
    status = how;
    timeout.cancel(false);
    stale =
        how == AttemptStatus.RESET
            && connecting == null
            && connection.nothingHeard()
            && clock.nowNanos() - sentAt < STALE_NANOS;
    if (stale) {
      // What was kept for longer has most likely gone the same way, and would cost an attempt each.
      pool.closeOlderThan(connection.idleSince);
    }
    if (how == AttemptStatus.TIMEOUT || how == AttemptStatus.CANCELLED) {
      if (connection != null) {
        connection.abort();
      } else if (connecting != null) {
        connecting.channel().close();
      }
    }
    if (how == AttemptStatus.TIMEOUT && !pool.heardWithin(timeoutNanos)) {
      // A machine that vanished keeps its connections open and silent: none of them is used again.
      // One that still
      // answers others was only slow, and closing all would cost it a storm of new connections.
      pool.closeIdle();
    }
    ending.ended(this, how, answer);
  }
}
