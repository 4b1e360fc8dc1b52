package loadbalancer.policy;

import java.util.List;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;

/**
 * Keeps requests from having an effect twice. A request that is not idempotent is not forwarded
 * again once it may have run; one with an idempotency key is, within its deduplication window and
 * to endpoints that share what they have seen. A rejection invites the client to retry, so it is
 * given only where a retry is as safe.
 */
final class RetrySafety {
  private final long clockResolutionNanos;

  /** Rules for a balancer whose clock has the given resolution. */
  RetrySafety(long clockResolutionNanos) {
    this.clockResolutionNanos = clockResolutionNanos;
  }

  /** Whether the request may be forwarded to any endpoint. */
  boolean mayForward(PendingRequest pending) {
    return pending.requestClass.effect() != RequestEffect.NOT_IDEMPOTENT || !pending.mayHaveRun();
  }

  /** Whether the request may be forwarded to the endpoint, beside the attempts that it had. */
  boolean mayForwardTo(PendingRequest pending, Endpoint endpoint, long nowNanos) {
    RequestClass requestClass = pending.requestClass;
    if (requestClass.effect() == RequestEffect.IDEMPOTENT) {
      return true;
    }
    List<Attempt> attempts = pending.attempts;
    for (int i = 0; i < attempts.size(); i++) {
      Attempt attempt = attempts.get(i);
      if (attempt.mayHaveRun && !dropsRepeat(requestClass, attempt, endpoint, nowNanos)) {
        return false;
      }
    }
    return true;
  }

  /** Whether the endpoint would drop the request if the attempt ran. */
  private boolean dropsRepeat(
      RequestClass requestClass, Attempt attempt, Endpoint endpoint, long nowNanos) {
    // A balancer may carry the forwarding out a moment later, so the window ends a tick earlier.
    return requestClass.effect() == RequestEffect.IDEMPOTENT_WITH_KEY
        && isShared(
            requestClass.deduplicationScope(), attempt.endpoint.descriptor(), endpoint.descriptor())
        && nowNanos - attempt.forwardedAtNanos
            < requestClass.deduplicationWindowNanos() - clockResolutionNanos;
  }

  private static boolean isShared(
      DeduplicationScope scope, EndpointDescriptor one, EndpointDescriptor other) {
    return switch (scope) {
      case ALL -> true;
      case ZONE -> one.zone().equals(other.zone());
      case CELL -> one.deduplicationCell() == other.deduplicationCell();
    };
  }

  /** Whether the client may be told that the request was rejected, and so may be sent again. */
  boolean mayReject(PendingRequest pending) {
    RequestClass requestClass = pending.requestClass;
    return requestClass.effect() == RequestEffect.IDEMPOTENT
        || !pending.mayHaveRun()
        || (requestClass.effect() == RequestEffect.IDEMPOTENT_WITH_KEY
            && requestClass.deduplicationScope() == DeduplicationScope.ALL);
  }
}
