package loadbalancer.policy;

import java.util.List;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;

/**
 * Prevents retries that could make a request take effect twice. A request that is not idempotent is
 * not forwarded again once an endpoint may have run it. A request with an idempotency key is
 * forwarded again only within its deduplication window and to endpoints in the same deduplication
 * scope. A rejection invites the client to retry, so it is sent only where that retry is safe too.
 */
final class RetrySafety {
  private final long clockResolutionNanos;

  /**
   * Creates the rules.
   *
   * @param clockResolutionNanos the resolution of the balancer's clock
   */
  RetrySafety(long clockResolutionNanos) {
    this.clockResolutionNanos = clockResolutionNanos;
  }

  /** Returns whether the request may be forwarded at all, regardless of the endpoint. */
  boolean mayForward(PendingRequest pending) {
    return pending.requestClass.effect() != RequestEffect.NOT_IDEMPOTENT || !pending.mayHaveRun();
  }

  /** Returns whether the request may be forwarded to the endpoint, given its earlier attempts. */
  boolean mayForwardTo(PendingRequest pending, Endpoint endpoint, long nowNanos) {
    RequestClass requestClass = pending.requestClass;
    if (requestClass.effect() == RequestEffect.IDEMPOTENT) {
      return true;
    }
    List<Attempt> attempts = pending.attempts;
    for (int i = 0; i < attempts.size(); i++) {
      Attempt attempt = attempts.get(i);
      if (attempt.mayHaveRun && !dropsDuplicate(requestClass, attempt, endpoint, nowNanos)) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether the endpoint drops the request as a duplicate if the attempt has run. */
  private boolean dropsDuplicate(
      RequestClass requestClass, Attempt attempt, Endpoint endpoint, long nowNanos) {
    // The balancer may forward slightly after this clock reading, so the window is shortened by
    // one tick of its clock.
    return requestClass.effect() == RequestEffect.IDEMPOTENT_WITH_KEY
        && isInScope(
            requestClass.deduplicationScope(), attempt.endpoint.descriptor(), endpoint.descriptor())
        && nowNanos - attempt.forwardedAtNanos
            < requestClass.deduplicationWindowNanos() - clockResolutionNanos;
  }

  private static boolean isInScope(
      DeduplicationScope scope, EndpointDescriptor attempted, EndpointDescriptor candidate) {
    return switch (scope) {
      case ALL -> true;
      case ZONE -> attempted.zone().equals(candidate.zone());
      case CELL -> attempted.deduplicationCell() == candidate.deduplicationCell();
    };
  }

  /** Returns whether the request may be rejected, which tells the client that a retry is safe. */
  boolean mayReject(PendingRequest pending) {
    RequestClass requestClass = pending.requestClass;
    return requestClass.effect() == RequestEffect.IDEMPOTENT
        || !pending.mayHaveRun()
        || (requestClass.effect() == RequestEffect.IDEMPOTENT_WITH_KEY
            && requestClass.deduplicationScope() == DeduplicationScope.ALL);
  }
}
