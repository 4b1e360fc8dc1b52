package loadbalancer.proxy.coordinator;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;
import loadbalancer.proxy.http.ClientRequest;
import loadbalancer.proxy.upstream.UpstreamAttempt;

/**
 * A client's request until it has its final response and none of its attempts is in flight.
 * Completed by {@link OpenRequestTable} only; its state belongs to the event loop.
 */
final class OpenRequest {

  private final ClientRequest request;
  private final DownstreamClient client;
  private final long deadlineNanos;
  private final List<UpstreamAttempt> attempts = new ArrayList<>(1);
  private ScheduledFuture<?> deadlineTimer;
  private boolean isCompleted;

  /**
   * Makes a request that has no response and no attempt yet.
   *
   * @param request what the client sent
   * @param client who waits for the response
   * @param deadlineNanos when the policy must have decided on the response, on the balancer's clock
   */
  OpenRequest(ClientRequest request, DownstreamClient client, long deadlineNanos) {
    this.request = request;
    this.client = client;
    this.deadlineNanos = deadlineNanos;
  }

  /** The request's identifier. */
  String id() {
    return request.requestId();
  }

  /** What the client sent. */
  ClientRequest request() {
    return request;
  }

  /** Who waits for the response. */
  DownstreamClient client() {
    return client;
  }

  /** When the policy must have decided on the response, on the balancer's clock. */
  long deadlineNanos() {
    return deadlineNanos;
  }

  /** The number of attempts made so far. */
  int attemptCount() {
    return attempts.size();
  }

  /** The attempt with this index, which is below {@link #attemptCount}. */
  UpstreamAttempt attempt(int index) {
    return attempts.get(index);
  }

  /** Adds an attempt, whose index is the number of those before it. */
  void addAttempt(UpstreamAttempt attempt) {
    attempts.add(attempt);
  }

  /** Sets the timer that is cancelled once the request is completed. */
  void setDeadlineTimer(ScheduledFuture<?> timer) {
    deadlineTimer = timer;
  }

  /** Whether the final response was sent, or the client disconnected. */
  boolean isCompleted() {
    return isCompleted;
  }

  /** Marks the request as completed and cancels its deadline timer; false if it was before. */
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

  /** Whether a rejection's promise would be true: that it is safe to send the request again. */
  boolean mayBeRejected() {
    RequestClass requestClass = request.requestClass();
    boolean isDeduplicatedEverywhere =
        requestClass.effect() == RequestEffect.IDEMPOTENT_WITH_KEY
            && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    return requestClass.effect() == RequestEffect.IDEMPOTENT
        || isDeduplicatedEverywhere
        || attempts.stream().noneMatch(UpstreamAttempt::mayHaveRun);
  }

  /**
   * Whether another attempt could not make the request run twice: every earlier attempt that may
   * have run is within the time in which upstreams drop a repeat.
   *
   * @param nowNanos the time, on the balancer's clock
   */
  boolean isRepeatHarmless(long nowNanos) {
    RequestClass requestClass = request.requestClass();
    if (requestClass.effect() == RequestEffect.IDEMPOTENT) {
      return true;
    }
    boolean hasKey = requestClass.effect() == RequestEffect.IDEMPOTENT_WITH_KEY;
    long windowNanos = requestClass.deduplicationWindowNanos();
    return attempts.stream()
        .filter(UpstreamAttempt::mayHaveRun)
        .allMatch(attempt -> hasKey && nowNanos - attempt.forwardedAtNanos() < windowNanos);
  }
}
