package loadbalancer.proxy.lifecycle;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.proxy.coordinator.RequestCoordinator;
import loadbalancer.proxy.downstream.DownstreamServer;

/**
 * Shuts a proxy down in steps: it fails readiness checks, stops listening, closes idle connections,
 * and finally closes connections whose request is incomplete. Every completely received request
 * gets a response.
 *
 * <p>The platform routes new connections to the proxy for up to 0.4 s after SIGTERM. It sends
 * SIGKILL once the longest request deadline, capped at 3 s, plus 0.7 s has passed since SIGTERM.
 * Clients keep using their open connections, and another proxy may be down at the same time, so
 * these connections are served as before until shortly before the end.
 *
 * <p>Must be used on the event loop only.
 */
final class GracefulShutdown {

  /** How long the proxy keeps listening after the shutdown has started. */
  private static final long LISTENING_MILLIS = 500;

  /** The longest request deadline that the platform takes into account. */
  private static final long MAX_DEADLINE_MILLIS = 3_000;

  /** Time from the longest request deadline to the end of the shutdown. */
  private static final long DEADLINE_MARGIN_MILLIS = 500;

  /** How long before the end of the shutdown idle connections are closed. */
  private static final long IDLE_CLOSE_LEAD_MILLIS = 1_000;

  /** Period of the checks for idle connections once these are being closed. */
  private static final long POLL_PERIOD_MILLIS = 10;

  private final EventLoop loop;
  private final PolicySettings settings;
  private final DownstreamServer downstream;
  private final RequestCoordinator coordinator;
  private final Runnable onComplete;

  /**
   * Creates a shutdown without starting it.
   *
   * @param settings provide the deadlines of the request classes
   * @param onComplete runs on the event loop once no client connection is open
   */
  GracefulShutdown(
      EventLoop loop,
      PolicySettings settings,
      DownstreamServer downstream,
      RequestCoordinator coordinator,
      Runnable onComplete) {
    this.loop = loop;
    this.settings = settings;
    this.downstream = downstream;
    this.coordinator = coordinator;
    this.onComplete = onComplete;
  }

  /** Starts the shutdown. Must be called only once. */
  void start() {
    downstream.beginGracefulShutdown();
    long durationMillis =
        DEADLINE_MARGIN_MILLIS + Math.min(MAX_DEADLINE_MILLIS, longestDeadlineMillis());
    coordinator.capDeadlines(TimeUnit.MILLISECONDS.toNanos(durationMillis));
    loop.schedule(downstream::stopListening, LISTENING_MILLIS, TimeUnit.MILLISECONDS);
    loop.schedule(
        this::closeIdleConnections,
        Math.max(LISTENING_MILLIS, durationMillis - IDLE_CLOSE_LEAD_MILLIS),
        TimeUnit.MILLISECONDS);
    loop.schedule(downstream::endIncompleteRequests, durationMillis, TimeUnit.MILLISECONDS);
  }

  private long longestDeadlineMillis() {
    long longestNanos = 0;
    for (RequestClass requestClass : settings.requestClasses()) {
      longestNanos = Math.max(longestNanos, requestClass.deadlineNanos());
    }
    return TimeUnit.NANOSECONDS.toMillis(longestNanos);
  }

  private void closeIdleConnections() {
    downstream.closeIdleConnections();
    if (downstream.openConnections() == 0) {
      onComplete.run();
    } else {
      loop.schedule(this::closeIdleConnections, POLL_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
