package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.settings.RequestClass;

/**
 * A request between its arrival and the completion of its last attempt, which may be later than its
 * final answer. {@link RequestLifecycle} is the only writer.
 */
final class PendingRequest {
  /** The request as it arrived. */
  final RequestArrived request;

  /** The settings of its class. */
  final RequestClass requestClass;

  /** When it arrived. */
  final long arrivedAtNanos;

  /** Its estimated load, in average requests. */
  final double load;

  /** The sliding windows that count it. */
  final TrafficWindows windows;

  /** Its attempts in forwarding order. */
  final List<Attempt> attempts = new ArrayList<>(1);

  /** How many of its attempts are in flight. */
  int inFlight;

  /** Whether it has its final answer, or needs none since the client disconnected. */
  boolean isFinal;

  /** Whether a streamed response has started: the request has no deadline any more. */
  boolean isStreaming;

  /** A request that was not forwarded yet. */
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

  /** Whether the request is over its tenant's quota. */
  boolean isOverQuota() {
    return windows.isOverQuota();
  }

  /** Whether there is an attempt of this index, and its completion is still to come. */
  boolean isInFlight(int attemptIndex) {
    return attemptIndex < attempts.size() && attempts.get(attemptIndex).isInFlight;
  }

  /** The attempt that was forwarded last; there is at least one. */
  Attempt lastAttempt() {
    return attempts.get(attempts.size() - 1);
  }

  /** Whether an endpoint may have run the request. */
  boolean mayHaveRun() {
    for (Attempt attempt : attempts) {
      if (attempt.mayHaveRun) {
        return true;
      }
    }
    return false;
  }
}
