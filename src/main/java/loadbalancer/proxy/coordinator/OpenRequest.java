package loadbalancer.proxy.coordinator;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.RequestEffect;
import loadbalancer.proxy.http.ClientRequest;
import loadbalancer.proxy.upstream.UpstreamAttempt;

/** A request in the table: until it has its final answer and each of its attempts has ended. */
final class OpenRequest {

  final ClientRequest request;
  final DownstreamClient client;

  /** When the module has to have answered, by the balancer's clock. */
  final long deadline;

  final List<UpstreamAttempt> attempts = new ArrayList<>(1);
  ScheduledFuture<?> guard;
  boolean ended;

  OpenRequest(ClientRequest request, DownstreamClient client, long deadline) {
    this.request = request;
    this.client = client;
    this.deadline = deadline;
  }

  boolean over() {
    return ended && attempts.stream().noneMatch(UpstreamAttempt::isInFlight);
  }

  boolean mayHaveRun() {
    return attempts.stream().anyMatch(UpstreamAttempt::mayHaveRun);
  }

  /** Whether a refusal's promise, that trying again is harmless, would be true. */
  boolean mayRefuse() {
    return request.requestClass().effect() == RequestEffect.IDEMPOTENT
        || !mayHaveRun()
        || request.requestClass().effect() == RequestEffect.IDEMPOTENT_WITH_KEY
            && request.requestClass().deduplicationScope() == DeduplicationScope.ALL;
  }

  /** Whether what an earlier attempt may have done is still remembered by its upstream's group. */
  boolean repeatIsHarmless(long now) {
    return request.requestClass().effect() == RequestEffect.IDEMPOTENT
        || attempts.stream()
            .filter(UpstreamAttempt::mayHaveRun)
            .allMatch(
                a ->
                    request.requestClass().effect() == RequestEffect.IDEMPOTENT_WITH_KEY
                        && now - a.forwardedAtNanos()
                            < request.requestClass().deduplicationWindowNanos());
  }
}
