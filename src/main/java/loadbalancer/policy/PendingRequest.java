package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.settings.RequestClass;

/**
 * A request that lacks its final response or still has an attempt in flight. Only {@link
 * RequestLifecycle} modifies it.
 */
final class PendingRequest {
  /** The request as it arrived. */
  final RequestArrived request;

  /** The settings of the request's class. */
  final RequestClass requestClass;

  /** When the request arrived. */
  final long arrivedAtNanos;

  /** The estimated load, as a multiple of the average request. */
  final double load;

  /** The sliding windows that count the request. */
  final TrafficWindows windows;

  /** The attempts in forwarding order. */
  final List<Attempt> attempts = new ArrayList<>(1);

  /** The number of attempts in flight. */
  int inFlight;

  /** Whether the final response was sent or the client disconnected. */
  boolean isCompleted;

  /** Whether a streamed response has started, after which the deadline no longer applies. */
  boolean isStreaming;

  /** Creates a request without attempts. */
  PendingRequest(
      RequestArrived request,
      RequestClass requestClass,
      long arrivedAtNanos,
      double load,
      TrafficWindows windows) {
    this.request = request;
    this.requestClass = requestClass;
    this.arrivedAtNanos = arrivedAtNanos;
    this.load = load;
    this.windows = windows;
  }

  /** Returns whether the request is over its tenant's quota. */
  boolean isOverQuota() {
    return windows.isOverQuota();
  }

  /** Returns whether an attempt with this index exists and has not completed. */
  boolean isInFlight(int attemptIndex) {
    return attemptIndex < attempts.size() && attempts.get(attemptIndex).isInFlight;
  }

  /** Returns the most recent attempt; the request must have at least one. */
  Attempt lastAttempt() {
    return attempts.get(attempts.size() - 1);
  }

  /** Returns whether any endpoint may have run the request. */
  boolean mayHaveRun() {
    for (Attempt attempt : attempts) {
      if (attempt.mayHaveRun) {
        return true;
      }
    }
    return false;
  }
}
