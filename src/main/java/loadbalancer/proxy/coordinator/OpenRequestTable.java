package loadbalancer.proxy.coordinator;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The open requests by their identifiers, each with its deadline timer. All state belongs to the
 * event loop.
 */
final class OpenRequestTable {

  /** How long after a request's deadline the policy may still decide on the response. */
  private static final long DEADLINE_GRACE_NANOS = 20_000_000L;

  private final EventLoop eventLoop;
  private final Consumer<OpenRequest> deadlineListener;
  private final Map<String, OpenRequest> requests = new HashMap<>();

  /** Requests that may have finished since the last removal. */
  private final List<OpenRequest> removalCandidates = new ArrayList<>();

  /**
   * Makes an empty table.
   *
   * @param eventLoop runs the deadline timers
   * @param deadlineListener called when a deadline timer fires
   */
  OpenRequestTable(EventLoop eventLoop, Consumer<OpenRequest> deadlineListener) {
    this.eventLoop = eventLoop;
    this.deadlineListener = deadlineListener;
  }

  /**
   * Adds a request and starts its deadline timer; false if a request with its identifier is open.
   *
   * @param request the request
   * @param timeLeftNanos the time to the request's deadline
   */
  boolean add(OpenRequest request, long timeLeftNanos) {
    if (requests.putIfAbsent(request.id(), request) != null) {
      return false;
    }
    request.setDeadlineTimer(startDeadlineTimer(request, timeLeftNanos + DEADLINE_GRACE_NANOS));
    return true;
  }

  private ScheduledFuture<?> startDeadlineTimer(OpenRequest request, long delayNanos) {
    return eventLoop.schedule(
        () -> deadlineListener.accept(request), delayNanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Starts another deadline timer for each request whose deadline is later than allowed. It is not
   * cancelled: firing for a completed request has no effect.
   *
   * @param latestDeadlineNanos the latest deadline allowed, on the balancer's clock
   * @param remainingNanos the time until then
   */
  void capDeadlines(long latestDeadlineNanos, long remainingNanos) {
    for (OpenRequest request : requests.values()) {
      if (!request.isCompleted() && request.deadlineNanos() > latestDeadlineNanos) {
        startDeadlineTimer(request, remainingNanos);
      }
    }
  }

  /** The request with this identifier; null where none is open. */
  OpenRequest find(String requestId) {
    return requests.get(requestId);
  }

  /** The requests that are open now. */
  List<OpenRequest> snapshot() {
    return List.copyOf(requests.values());
  }

  /** The number of open requests. */
  int size() {
    return requests.size();
  }

  /**
   * Completes a request. True once for each request: the caller then owes the client the only final
   * response.
   */
  boolean complete(OpenRequest request) {
    if (!request.complete()) {
      return false;
    }
    removalCandidates.add(request);
    return true;
  }

  /** Records that one of the request's attempts completed, so that it may have finished. */
  void attemptCompleted(OpenRequest request) {
    removalCandidates.add(request);
  }

  /** Removes the requests that have finished since the last call. */
  void removeFinished() {
    for (OpenRequest candidate : removalCandidates) {
      if (candidate.isFinished()) {
        requests.remove(candidate.id(), candidate);
      }
    }
    removalCandidates.clear();
  }
}
