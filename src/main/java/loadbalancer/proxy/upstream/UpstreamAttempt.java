package loadbalancer.proxy.upstream;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.proxy.http.UpstreamResponse;
import loadbalancer.proxy.transport.EpochClock;

/**
 * One attempt to have an upstream serve a request. Every started attempt completes exactly once.
 * Not thread-safe: used on the event loop only.
 */
public final class UpstreamAttempt {

  /**
   * If a pooled connection is reset within this time after the request was written, and no byte has
   * been received, it is taken to have been broken before it was reused.
   */
  private static final long STALE_CONNECTION_RESET_NANOS = 50_000_000L;

  /** The lowest value sent in {@code X-Time-Left-Ms}. */
  private static final long MIN_TIME_LEFT_MILLIS = 1;

  /** Notified once, on the event loop, when an attempt completes. */
  public interface CompletionListener {

    /**
     * Called when the attempt has completed.
     *
     * @param attempt the completed attempt
     * @param status how the attempt ended
     * @param response the complete response, or null if none was received
     */
    void attemptCompleted(UpstreamAttempt attempt, AttemptStatus status, UpstreamResponse response);
  }

  private final AttemptPlan plan;
  private final EndpointConnectionPool pool;
  private final EpochClock clock;
  private final CompletionListener listener;

  /** The connection that the request is written to; null until writing starts. */
  private UpstreamConnection connection;

  /** The result of opening a connection for this attempt; null if a pooled one is used. */
  private ChannelFuture connectFuture;

  private ScheduledFuture<?> timeoutTimer;

  /** Whether writing of the request has started. */
  private boolean isForwarded;

  private long forwardedAtNanos;
  private boolean foundStaleConnection;

  /** How the attempt ended; null while it is in flight. */
  private AttemptStatus status;

  /**
   * Creates an attempt, which {@link #start} starts.
   *
   * @param plan the request, the endpoint and the timeout
   * @param pool the connections to the endpoint
   * @param clock the balancer's clock
   * @param listener notified when the attempt completes, possibly from within {@link #start}
   */
  public UpstreamAttempt(
      AttemptPlan plan,
      EndpointConnectionPool pool,
      EpochClock clock,
      CompletionListener listener) {
    this.plan = plan;
    this.pool = pool;
    this.clock = clock;
    this.listener = listener;
  }

  /**
   * Starts the timeout and forwards the request on an idle connection or, if there is none, on a
   * new one as soon as it is open.
   *
   * @param eventLoop the current event loop, which runs the timeout
   */
  public void start(EventLoop eventLoop) {
    timeoutTimer =
        eventLoop.schedule(
            () -> complete(AttemptStatus.TIMEOUT, null),
            Math.max(0, plan.timeoutNanos()),
            TimeUnit.NANOSECONDS);
    UpstreamConnection idle = pool.acquireIdle();
    if (idle != null) {
      forward(idle);
      return;
    }
    Optional<ChannelFuture> newConnectFuture = pool.connect();
    if (newConnectFuture.isEmpty()) {
      complete(AttemptStatus.CONNECT_FAILED, null);
      return;
    }
    connectFuture = newConnectFuture.get();
    connectFuture.addListener(this::connectCompleted);
  }

  private void connectCompleted(Future<? super Void> completedConnect) {
    if (!isInFlight()) {
      connectFuture.channel().close();
    } else if (!completedConnect.isSuccess()) {
      complete(AttemptStatus.CONNECT_FAILED, null);
    } else {
      forward(connectFuture.channel().pipeline().get(UpstreamConnection.class));
    }
  }

  private void forward(UpstreamConnection openConnection) {
    if (!plan.mayStillForward().getAsBoolean()) {
      openConnection.release();
      complete(AttemptStatus.NOT_SENT, null);
      return;
    }
    connection = openConnection;
    isForwarded = true;
    forwardedAtNanos = clock.nowNanos();
    long timeLeftNanos = plan.timeoutNanos() - sendDelayNanos();
    long timeLeftMillis =
        Math.max(MIN_TIME_LEFT_MILLIS, TimeUnit.NANOSECONDS.toMillis(timeLeftNanos));
    openConnection.send(this, UpstreamRequestFactory.create(plan.request(), timeLeftMillis));
  }

  /** The attempt's index, counted from 0 in forwarding order. */
  public int index() {
    return plan.index();
  }

  /** The endpoint that the request is forwarded to. */
  public long endpointId() {
    return plan.endpointId();
  }

  /** The address that the attempt uses, even if the endpoint gets another one meanwhile. */
  public InetSocketAddress address() {
    return pool.address();
  }

  /** Whether the attempt has not completed. */
  public boolean isInFlight() {
    return status == null;
  }

  /** How the attempt ended; null while it is in flight. */
  public AttemptStatus status() {
    return status;
  }

  /** Whether the upstream may have run the request or may still run it. */
  public boolean mayHaveRun() {
    return isForwarded && (status == null || !status.provesNotRun());
  }

  /**
   * Whether the attempt was reset because its pooled connection was already broken. Such a reset is
   * no evidence against the endpoint.
   */
  public boolean foundStaleConnection() {
    return foundStaleConnection;
  }

  /** When writing of the request started, on the {@link EpochClock}; 0 if it has not started. */
  public long forwardedAtNanos() {
    return forwardedAtNanos;
  }

  /** The time from the decision to the start of writing the request; 0 if it has not started. */
  public long sendDelayNanos() {
    return isForwarded ? forwardedAtNanos - plan.decidedAtNanos() : 0;
  }

  /**
   * The time since writing of the request started or, if it has not started, since the decision.
   * Excludes the time for opening a connection, which a slow event loop can prolong without any
   * fault of the upstream.
   *
   * @param untilNanos the end of the measured time, on the {@link EpochClock}
   */
  public long latencyNanos(long untilNanos) {
    long sinceNanos = isForwarded ? forwardedAtNanos : plan.decidedAtNanos();
    return Math.max(0, untilNanos - sinceNanos);
  }

  /**
   * Completes the attempt and notifies the listener. Has no effect on an attempt that has already
   * completed. After a timeout or a cancellation, the attempt's connection is closed.
   *
   * @param outcome how the attempt ended
   * @param response the complete response, or null if none was received
   */
  public void complete(AttemptStatus outcome, UpstreamResponse response) {
    if (!isInFlight()) {
      return;
    }
    status = outcome;
    timeoutTimer.cancel(false);
    foundStaleConnection = outcome == AttemptStatus.RESET && wasConnectionStale();
    if (foundStaleConnection) {
      // Connections that have been idle for longer are most likely broken too. Each would cost
      // another attempt.
      pool.closeIdleSince(connection.idleSinceNanos());
    }
    if (outcome == AttemptStatus.TIMEOUT || outcome == AttemptStatus.CANCELLED) {
      closeConnection();
    }
    if (outcome == AttemptStatus.TIMEOUT && !pool.hasReceivedWithin(plan.timeoutNanos())) {
      // After a host failure, connections stay open but nothing is received on them, so none may be
      // reused. An upstream that still responds to other requests is only slow, and a burst of new
      // connections would slow it down further.
      pool.closeIdle();
    }
    listener.attemptCompleted(this, outcome, response);
  }

  /** Whether a reset means that the pooled connection was broken before it was reused. */
  private boolean wasConnectionStale() {
    return connectFuture == null
        && !connection.hasReceivedBytes()
        && clock.nowNanos() - forwardedAtNanos < STALE_CONNECTION_RESET_NANOS;
  }

  private void closeConnection() {
    if (connection != null) {
      connection.abort();
    } else if (connectFuture != null) {
      connectFuture.channel().close();
    }
  }
}
