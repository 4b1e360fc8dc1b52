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
 * The open requests by id, each with a deadline timer. A request stays in the table until it is
 * completed and none of its attempts is in flight. Not thread-safe: used on the event loop only.
 */
final class OpenRequestTable {

  /**
   * Delay in nanoseconds from a request's deadline to its timer, in which the policy may still
   * decide.
   */
  private static final long DEADLINE_GRACE_NANOS = 20_000_000L;

  private final EventLoop eventLoop;
  private final Consumer<OpenRequest> deadlineListener;
  private final Map<String, OpenRequest> requests = new HashMap<>();
  private final RecentlyRunRequests recentlyRun = new RecentlyRunRequests();

  /** Requests that may have finished since the last call of {@link #removeFinished}. */
  private final List<OpenRequest> removalCandidates = new ArrayList<>();

  /**
   * Creates an empty table.
   *
   * @param eventLoop runs the deadline timers
   * @param deadlineListener called on the event loop when a request's deadline timer fires
   */
  OpenRequestTable(EventLoop eventLoop, Consumer<OpenRequest> deadlineListener) {
    this.eventLoop = eventLoop;
    this.deadlineListener = deadlineListener;
  }

  /**
   * Adds a request and starts its deadline timer. Returns false, without effect, if a request with
   * the same id is open, or has ended and must not run twice.
   *
   * @param request the request
   * @param timeLeftNanos the time from now to the request's deadline
   */
  boolean add(OpenRequest request, long timeLeftNanos) {
    if (!recentlyRun.mayRun(request) || requests.putIfAbsent(request.id(), request) != null) {
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
   * Starts a second deadline timer for each request whose deadline is later than allowed. This
   * timer is never cancelled, since it has no effect on a completed request.
   *
   * @param latestDeadlineNanos the latest allowed deadline, on the balancer's clock
   * @param remainingNanos the time from now to the latest allowed deadline
   */
  void capDeadlines(long latestDeadlineNanos, long remainingNanos) {
    for (OpenRequest request : requests.values()) {
      if (!request.isCompleted() && request.deadlineNanos() > latestDeadlineNanos) {
        startDeadlineTimer(request, remainingNanos);
      }
    }
  }

  /** The open request with this id; null if there is none. */
  OpenRequest find(String requestId) {
    return requests.get(requestId);
  }

  /** A copy of the open requests, which later changes of the table do not affect. */
  List<OpenRequest> snapshot() {
    return List.copyOf(requests.values());
  }

  /** The number of open requests. */
  int size() {
    return requests.size();
  }

  /**
   * Completes a request. Returns true the first time only: the caller must then send the final
   * response, unless the client has disconnected.
   */
  boolean complete(OpenRequest request) {
    if (!request.complete()) {
      return false;
    }
    removalCandidates.add(request);
    return true;
  }

  /** Records that an attempt of the request has completed, which may have finished the request. */
  void attemptCompleted(OpenRequest request) {
    removalCandidates.add(request);
  }

  /** Removes the requests that have finished since the last call. */
  void removeFinished() {
    for (OpenRequest candidate : removalCandidates) {
      if (candidate.isFinished() && requests.remove(candidate.id(), candidate)) {
        candidate.releaseMemory();
        recentlyRun.add(candidate);
      }
    }
    removalCandidates.clear();
  }
}
