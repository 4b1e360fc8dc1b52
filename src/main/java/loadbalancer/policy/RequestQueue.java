package loadbalancer.policy;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * The requests that wait for an endpoint with capacity: those of the highest priority weight first,
 * the oldest first among these. {@link RequestLifecycle} adds and removes them.
 */
final class RequestQueue {
  /** How long a request waits for its first attempt; a rejection then is still early. */
  private static final double MAX_QUEUE_TIME_IN_OBJECTIVES = 0.3;

  private final double overQuotaWeight;
  private final TreeSet<PendingRequest> requests =
      new TreeSet<>(
          Comparator.comparingDouble((PendingRequest pending) -> -priorityWeight(pending))
              .thenComparingLong(pending -> pending.arrivedAtNanos)
              .thenComparing(pending -> pending.request.requestId()));

  /**
   * An empty queue.
   *
   * @param overQuotaWeight the fraction of its priority weight that a request over quota keeps
   */
  RequestQueue(double overQuotaWeight) {
    this.overQuotaWeight = overQuotaWeight;
  }

  private double priorityWeight(PendingRequest pending) {
    return pending.requestClass.priorityWeight() * (pending.isOverQuota() ? overQuotaWeight : 1);
  }

  /** Whether a request that was never forwarded may go on waiting. */
  static boolean mayAwaitFirstAttempt(PendingRequest pending, long nowNanos) {
    double maxQueueNanos =
        MAX_QUEUE_TIME_IN_OBJECTIVES * pending.requestClass.latencyObjectiveNanos();
    return nowNanos < pending.arrivedAtNanos + maxQueueNanos;
  }

  /** Adds a request; does nothing if it waits already. */
  void add(PendingRequest pending) {
    requests.add(pending);
  }

  /** Removes a request; does nothing if it does not wait. */
  void remove(PendingRequest pending) {
    requests.remove(pending);
  }

  /** The request that is first in order, or null if none waits. */
  PendingRequest first() {
    return requests.isEmpty() ? null : requests.first();
  }

  /** The waiting request that follows the given one, which may have been removed; or null. */
  PendingRequest after(PendingRequest pending) {
    return requests.higher(pending);
  }

  /** How many requests wait. */
  int size() {
    return requests.size();
  }

  /** All waiting requests in order, as a copy. */
  List<PendingRequest> snapshot() {
    return List.copyOf(requests);
  }
}
