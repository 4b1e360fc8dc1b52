package loadbalancer.policy;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * The requests that wait for an endpoint with capacity, highest priority weight first and oldest
 * first among equal weights. {@link RequestLifecycle} adds and removes them.
 */
final class RequestQueue {
  /**
   * How long a request may wait for its first attempt, as a fraction of its latency objective. A
   * rejection after this time still reaches the client early.
   */
  private static final double MAX_QUEUE_TIME_IN_OBJECTIVES = 0.3;

  private final double overQuotaWeight;
  private final TreeSet<PendingRequest> requests =
      new TreeSet<>(
          Comparator.comparingDouble((PendingRequest pending) -> -priorityWeight(pending))
              .thenComparingLong(pending -> pending.arrivedAtNanos)
              .thenComparing(pending -> pending.request.requestId()));

  /**
   * Creates an empty queue.
   *
   * @param overQuotaWeight the factor for the priority weight of requests over quota
   */
  RequestQueue(double overQuotaWeight) {
    this.overQuotaWeight = overQuotaWeight;
  }

  private double priorityWeight(PendingRequest pending) {
    return pending.requestClass.priorityWeight() * (pending.isOverQuota() ? overQuotaWeight : 1);
  }

  /** Returns whether a request without attempts may wait any longer. */
  static boolean isWithinMaxQueueTime(PendingRequest pending, long nowNanos) {
    double maxQueueNanos =
        MAX_QUEUE_TIME_IN_OBJECTIVES * pending.requestClass.latencyObjectiveNanos();
    return nowNanos < pending.arrivedAtNanos + maxQueueNanos;
  }

  /** Adds a request; has no effect if it is already queued. */
  void add(PendingRequest pending) {
    requests.add(pending);
  }

  /** Removes a request; has no effect if it is not queued. */
  void remove(PendingRequest pending) {
    requests.remove(pending);
  }

  /** Returns the first request in order, or null if the queue is empty. */
  PendingRequest first() {
    return requests.isEmpty() ? null : requests.first();
  }

  /**
   * Returns the queued request that follows the given one in order, or null if there is none. The
   * given request need not be queued any more.
   */
  PendingRequest after(PendingRequest pending) {
    return requests.higher(pending);
  }

  /** Returns the number of queued requests. */
  int size() {
    return requests.size();
  }

  /** Returns a copy of the queue in order. */
  List<PendingRequest> snapshot() {
    return List.copyOf(requests);
  }
}
