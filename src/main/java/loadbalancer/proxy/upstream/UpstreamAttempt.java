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
 * One attempt to have a request served by an upstream, from the policy's decision to exactly one
 * outcome. All state belongs to the event loop.
 */
public final class UpstreamAttempt {

  /**
   * A pooled connection that is reset within this time of the request's writing, before any byte
   * came, was broken already when it was reused.
   */
  private static final long STALE_CONNECTION_RESET_NANOS = 50_000_000L;

  /** The least time left that is stated to an upstream. */
  private static final long MIN_TIME_LEFT_MILLIS = 1;

  /** Notified on the event loop, once, when an attempt completes. */
  public interface CompletionListener {

    /**
     * Called when the attempt has completed.
     *
     * @param attempt the attempt
     * @param status how it ended
     * @param response the complete response, or null where none came
     */
    void attemptCompleted(UpstreamAttempt attempt, AttemptStatus status, UpstreamResponse response);
  }

  private final AttemptPlan plan;
  private final EndpointConnectionPool pool;
  private final EpochClock clock;
  private final CompletionListener listener;

  /** The connection that the request was written to, or null. */
  private UpstreamConnection connection;

  /** The connection that was opened for this attempt, or null for a pooled one. */
  private ChannelFuture connecting;

  private ScheduledFuture<?> timeoutTimer;
  private boolean isForwarded;
  private long forwardedAtNanos;
  private boolean foundStaleConnection;

  /** How the attempt ended; null while it is in flight. */
  private AttemptStatus status;

  /**
   * Makes an attempt that has not started.
   *
   * @param plan the decision that it carries out
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
   * Forwards the request on an idle connection, or on a new one once it is up.
   *
   * @param eventLoop runs the attempt's timeout
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
    Optional<ChannelFuture> newConnection = pool.connect();
    if (newConnection.isEmpty()) {
      complete(AttemptStatus.CONNECT_FAILED, null);
      return;
    }
    connecting = newConnection.get();
    connecting.addListener(this::connectCompleted);
  }

  private void connectCompleted(Future<? super Void> connected) {
    if (!isInFlight()) {
      connecting.channel().close();
    } else if (!connected.isSuccess()) {
      complete(AttemptStatus.CONNECT_FAILED, null);
    } else {
      forward(connecting.channel().pipeline().get(UpstreamConnection.class));
    }
  }

  private void forward(UpstreamConnection target) {
    if (!plan.mayStillForward().getAsBoolean()) {
      target.release();
      complete(AttemptStatus.NOT_SENT, null);
      return;
    }
    connection = target;
    isForwarded = true;
    forwardedAtNanos = clock.nowNanos();
    long timeLeftNanos = plan.timeoutNanos() - sendDelayNanos();
    long timeLeftMillis =
        Math.max(MIN_TIME_LEFT_MILLIS, TimeUnit.NANOSECONDS.toMillis(timeLeftNanos));
    target.send(this, UpstreamRequestFactory.create(plan.request(), timeLeftMillis));
  }

  /** The attempt's index, counted from 0 in forwarding order. */
  public int index() {
    return plan.index();
  }

  /** The endpoint that the request is forwarded to. */
  public long endpointId() {
    return plan.endpointId();
  }

  /** The endpoint's address at the time of the decision. */
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

  /** Whether the upstream may have run the request, or may still run it. */
  public boolean mayHaveRun() {
    return isForwarded && (status == null || !status.provesNotRun());
  }

  /**
   * Whether the attempt was reset because its pooled connection was broken before, which says
   * nothing of the endpoint.
   */
  public boolean foundStaleConnection() {
    return foundStaleConnection;
  }

  /** When the first byte was written, on the balancer's clock; 0 while nothing was forwarded. */
  public long forwardedAtNanos() {
    return forwardedAtNanos;
  }

  /** The time from the decision to the first byte; 0 while nothing was forwarded. */
  public long sendDelayNanos() {
    return isForwarded ? forwardedAtNanos - plan.decidedAtNanos() : 0;
  }

  /**
   * The time from the writing of the first byte, or from the decision where nothing was forwarded.
   * Excludes the connect: a slow event loop makes it long, which is no work of the upstream.
   *
   * @param untilNanos when the response came, on the balancer's clock
   */
  public long latencyNanos(long untilNanos) {
    long sinceNanos = isForwarded ? forwardedAtNanos : plan.decidedAtNanos();
    return Math.max(0, untilNanos - sinceNanos);
  }

  /**
   * Completes the attempt and notifies the listener; has no effect on a completed attempt. A
   * timed-out or cancelled attempt takes its connection with it.
   *
   * @param outcome how the attempt ended
   * @param response the complete response, or null where none came
   */
  public void complete(AttemptStatus outcome, UpstreamResponse response) {
    if (!isInFlight()) {
      return;
    }
    status = outcome;
    timeoutTimer.cancel(false);
    foundStaleConnection = outcome == AttemptStatus.RESET && wasConnectionStale();
    if (foundStaleConnection) {
      // Connections idle for longer have most likely broken too, and would cost an attempt each.
      pool.closeIdleSince(connection.idleSinceNanos());
    }
    if (outcome == AttemptStatus.TIMEOUT || outcome == AttemptStatus.CANCELLED) {
      closeConnection();
    }
    if (outcome == AttemptStatus.TIMEOUT && !pool.hasReceivedWithin(plan.timeoutNanos())) {
      // A machine that vanished leaves its connections open and silent, so none is reused. One that
      // still responds to others was only slow, and would suffer from a burst of new connections.
      pool.closeIdle();
    }
    listener.attemptCompleted(this, outcome, response);
  }

  /** Whether the request was reset on a pooled connection that must have been broken before. */
  private boolean wasConnectionStale() {
    return connecting == null
        && !connection.hasReceivedBytes()
        && clock.nowNanos() - forwardedAtNanos < STALE_CONNECTION_RESET_NANOS;
  }

  private void closeConnection() {
    if (connection != null) {
      connection.abort();
    } else if (connecting != null) {
      connecting.channel().close();
    }
  }
}
