package loadbalancer.proxy.coordinator;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;
import loadbalancer.proxy.http.ClientRequest;
import loadbalancer.proxy.http.MemoryBudget;
import loadbalancer.proxy.upstream.UpstreamAttempt;

/**
 * A client's request, from its arrival until it is completed and none of its attempts is in flight.
 * Only {@link OpenRequestTable} completes it. Not thread-safe: used on the event loop only.
 */
final class OpenRequest {

  private final ClientRequest clientRequest;
  private final MemoryBudget.Reservation memory;
  private final DownstreamClient client;
  private final long deadlineNanos;
  private final List<UpstreamAttempt> attempts = new ArrayList<>(1);
  private ScheduledFuture<?> deadlineTimer;
  private boolean isCompleted;

  /**
   * Creates a request without attempts.
   *
   * @param clientRequest the request as received from the client
   * @param memory the memory reserved for the request
   * @param client receives the final response
   * @param deadlineNanos when the policy must have decided on the final response, in nanoseconds on
   *     the balancer's clock
   */
  OpenRequest(
      ClientRequest clientRequest,
      MemoryBudget.Reservation memory,
      DownstreamClient client,
      long deadlineNanos) {
    this.clientRequest = clientRequest;
    this.memory = memory;
    this.client = client;
    this.deadlineNanos = deadlineNanos;
  }

  /** The request id, unique among the open requests. */
  String id() {
    return clientRequest.requestId();
  }

  /** The request as received from the client. */
  ClientRequest clientRequest() {
    return clientRequest;
  }

  /** The client that receives the final response. */
  DownstreamClient client() {
    return client;
  }

  /**
   * When the policy must have decided on the final response, in nanoseconds on the balancer's
   * clock.
   */
  long deadlineNanos() {
    return deadlineNanos;
  }

  /** The number of attempts started so far. */
  int attemptCount() {
    return attempts.size();
  }

  /** The attempt with this index, counted from 0; must be below {@link #attemptCount}. */
  UpstreamAttempt attempt(int index) {
    return attempts.get(index);
  }

  /** Adds an attempt. Its index is the number of attempts added before it. */
  void addAttempt(UpstreamAttempt attempt) {
    attempts.add(attempt);
  }

  /** Sets the timer that is cancelled when the request completes; must be set before then. */
  void setDeadlineTimer(ScheduledFuture<?> timer) {
    deadlineTimer = timer;
  }

  /** Whether the client has been sent the final response or has disconnected. */
  boolean isCompleted() {
    return isCompleted;
  }

  /**
   * Marks the request as completed and cancels its deadline timer. Returns false, without effect,
   * if it was completed before.
   */
  boolean complete() {
    if (isCompleted) {
      return false;
    }
    isCompleted = true;
    deadlineTimer.cancel(false);
    return true;
  }

  /** Whether the request is completed and none of its attempts is in flight. */
  boolean isFinished() {
    return isCompleted && attempts.stream().noneMatch(UpstreamAttempt::isInFlight);
  }

  /** Whether a repeat of the request is harmless. */
  boolean isIdempotent() {
    return clientRequest.requestClass().effect() == RequestEffect.IDEMPOTENT;
  }

  /** Whether an upstream may have run the request or may still run it. */
  boolean mayHaveRun() {
    return attempts.stream().anyMatch(UpstreamAttempt::mayHaveRun);
  }

  /** Releases the memory reserved for the request, which nothing refers to any more. */
  void releaseMemory() {
    memory.release();
  }

  /**
   * Whether the client may safely retry the request, as a rejection states: the request is
   * idempotent, all endpoints drop a repeat of it, or no attempt may have run.
   */
  boolean isSafeForClientRetry() {
    RequestClass requestClass = clientRequest.requestClass();
    boolean isDeduplicatedEverywhere =
        requestClass.effect() == RequestEffect.IDEMPOTENT_WITH_KEY
            && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    return isIdempotent() || isDeduplicatedEverywhere || !mayHaveRun();
  }

  /**
   * Whether one more attempt cannot make the request run twice: the request is idempotent, or every
   * earlier attempt that may have run is recent enough for upstreams to drop a repeat by its
   * idempotency key.
   *
   * @param nowNanos the current time, on the balancer's clock
   */
  boolean isSafeToForward(long nowNanos) {
    if (isIdempotent()) {
      return true;
    }
    RequestClass requestClass = clientRequest.requestClass();
    boolean hasKey = requestClass.effect() == RequestEffect.IDEMPOTENT_WITH_KEY;
    long windowNanos = requestClass.deduplicationWindowNanos();
    return attempts.stream()
        .filter(UpstreamAttempt::mayHaveRun)
        .allMatch(attempt -> hasKey && nowNanos - attempt.forwardedAtNanos() < windowNanos);
  }
}
