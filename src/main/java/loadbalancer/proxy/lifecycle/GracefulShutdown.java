package loadbalancer.proxy.lifecycle;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.proxy.coordinator.RequestCoordinator;
import loadbalancer.proxy.downstream.DownstreamServer;

/**
 * Ends a proxy in steps: it reports that it is not ready, accepts no more connections, closes idle
 * ones, and ends those whose request is not complete. Every complete request is answered.
 *
 * <p>After SIGTERM the platform still sends new connections for 0.4 s, and sends SIGKILL after the
 * longest deadline (3 s at most) plus 0.7 s. Clients go on to use their connections while these are
 * open, and another proxy may be down at the same time, so they are served as before until shortly
 * before the end.
 *
 * <p>Belongs to the event loop.
 */
final class GracefulShutdown {

  /** How long new connections are accepted. */
  private static final long ACCEPT_MILLIS = 500;

  /** The longest request deadline that the platform waits for. */
  private static final long MAX_DEADLINE_MILLIS = 3_000;

  /** From the longest request deadline to the end of the shutdown. */
  private static final long AFTER_DEADLINE_MILLIS = 500;

  /** From the closing of idle connections to the end of the shutdown. */
  private static final long IDLE_CLOSING_MILLIS = 1_000;

  private static final long POLL_MILLIS = 10;

  private final EventLoop loop;
  private final PolicySettings settings;
  private final DownstreamServer downstream;
  private final RequestCoordinator coordinator;
  private final Runnable onComplete;

  /** A shutdown that has not started; {@code onComplete} runs once no connection is open. */
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

  /** Starts the shutdown; to be called once. */
  void start() {
    downstream.beginGracefulShutdown();
    long endMillis = AFTER_DEADLINE_MILLIS + Math.min(MAX_DEADLINE_MILLIS, longestDeadlineMillis());
    coordinator.capDeadlines(TimeUnit.MILLISECONDS.toNanos(endMillis));
    loop.schedule(downstream::stopListening, ACCEPT_MILLIS, TimeUnit.MILLISECONDS);
    loop.schedule(
        this::closeIdleConnections,
        Math.max(ACCEPT_MILLIS, endMillis - IDLE_CLOSING_MILLIS),
        TimeUnit.MILLISECONDS);
    loop.schedule(downstream::endIncompleteRequests, endMillis, TimeUnit.MILLISECONDS);
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
      loop.schedule(this::closeIdleConnections, POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
