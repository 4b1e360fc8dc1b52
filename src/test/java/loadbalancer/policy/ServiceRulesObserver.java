package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.CancelAttempt;
import loadbalancer.policy.action.FailRequest;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.RejectRequest;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;

/**
 * Checks every action of a policy against the service's rules: one final answer in time, retries
 * only where they are safe, nothing new to draining endpoints. It keeps its own record of requests
 * and endpoints and knows nothing of how the policy decides.
 */
final class ServiceRulesObserver {

  /** An attempt as it was forwarded, with the endpoint as it was listed then. */
  static final class ObservedAttempt {
    /** Where it was forwarded to. */
    final EndpointDescriptor endpoint;

    /** When it was forwarded. */
    final long forwardedNanos;

    private AttemptStatus status;

    private ObservedAttempt(EndpointDescriptor endpoint, long forwardedNanos) {
      this.endpoint = endpoint;
      this.forwardedNanos = forwardedNanos;
    }

    boolean isInFlight() {
      return status == null;
    }

    /** How the attempt ended; null while it is in flight. */
    AttemptStatus status() {
      return status;
    }

    private boolean mayHaveRun() {
      return isInFlight() || !status.provesNotRun();
    }
  }

  /** A request, its attempts in forwarding order, and whether it has its final answer. */
  static final class ObservedRequest {
    /** The id that the request arrived with. */
    final String requestId;

    /** When its client stops waiting. */
    final long deadlineNanos;

    /** Its attempts in forwarding order. */
    final List<ObservedAttempt> attempts = new ArrayList<>();

    private final RequestClass requestClass;
    private boolean answered;

    private ObservedRequest(String requestId, RequestClass requestClass, long deadlineNanos) {
      this.requestId = requestId;
      this.requestClass = requestClass;
      this.deadlineNanos = deadlineNanos;
    }

    boolean isAnswered() {
      return answered;
    }

    private boolean hasAttemptInFlight() {
      return attempts.stream().anyMatch(ObservedAttempt::isInFlight);
    }
  }

  private final PolicySettings settings;
  private final Map<String, ObservedRequest> requests = new LinkedHashMap<>();
  private final Map<Long, EndpointDescriptor> endpoints = new LinkedHashMap<>();

  ServiceRulesObserver(PolicySettings settings) {
    this.settings = settings;
  }

  // ---- What happens to the balancer

  void endpointListed(EndpointDescriptor descriptor) {
    endpoints.put(descriptor.endpointId(), descriptor);
  }

  /** All endpoints as last listed, removed ones too. */
  List<EndpointDescriptor> endpoints() {
    return List.copyOf(endpoints.values());
  }

  void requestArrived(String requestId, RequestClass requestClass, long deadlineNanos) {
    requests.put(requestId, new ObservedRequest(requestId, requestClass, deadlineNanos));
  }

  /** The requests that lack their final answer or have an attempt in flight. */
  List<ObservedRequest> requests() {
    return List.copyOf(requests.values());
  }

  void attemptCompleted(ObservedRequest request, ObservedAttempt attempt, AttemptStatus status) {
    attempt.status = status;
    request.answered |= status == AttemptStatus.SERVED;
  }

  void clientDisconnected(ObservedRequest request) {
    request.answered = true;
  }

  void forgetFinishedRequests() {
    requests.values().removeIf(request -> request.answered && !request.hasAttemptInFlight());
  }

  // ---- Checks

  void checkAction(long nowNanos, Action action) {
    if (action instanceof ForwardAttempt forward) {
      checkForwardAttempt(nowNanos, forward);
    } else if (action instanceof RejectRequest reject) {
      checkRejection(requests.get(reject.requestId()));
    } else if (action instanceof FailRequest fail) {
      checkFinalAnswer(requests.get(fail.requestId()));
    } else if (action instanceof CancelAttempt) {
      assertTrue(settings.limits().cancellation());
    }
  }

  private void checkForwardAttempt(long nowNanos, ForwardAttempt forward) {
    ObservedRequest request = requests.get(forward.requestId());
    EndpointDescriptor endpoint = endpoints.get(forward.endpointId());
    assertTrue(!request.answered, "forwarded after the final answer");
    assertEquals(EndpointStatus.READY, endpoint.status(), "forwarded to an endpoint not ready");
    assertTrue(request.attempts.size() < settings.limits().maxAttempts(), "too many attempts");
    assertTrue(!request.hasAttemptInFlight() || settings.limits().hedging(), "hedged");
    assertTrue(nowNanos < request.deadlineNanos, "forwarded past the deadline");
    if (request.requestClass.effect() != RequestEffect.IDEMPOTENT) {
      for (ObservedAttempt earlier : request.attempts) {
        if (earlier.mayHaveRun()) {
          checkRepeat(nowNanos, request.requestClass, earlier, endpoint);
        }
      }
    }
    request.attempts.add(new ObservedAttempt(endpoint, nowNanos));
  }

  /** Whether a request that is not idempotent may run at the endpoint after an earlier attempt. */
  private static void checkRepeat(
      long nowNanos,
      RequestClass requestClass,
      ObservedAttempt earlier,
      EndpointDescriptor endpoint) {
    assertEquals(
        RequestEffect.IDEMPOTENT_WITH_KEY, requestClass.effect(), "repeated without a key");
    assertTrue(
        nowNanos - earlier.forwardedNanos < requestClass.deduplicationWindowNanos(),
        "repeated past the deduplication window");
    DeduplicationScope scope = requestClass.deduplicationScope();
    assertTrue(
        scope == DeduplicationScope.ALL
            || (scope == DeduplicationScope.ZONE && earlier.endpoint.zone().equals(endpoint.zone()))
            || (scope == DeduplicationScope.CELL
                && earlier.endpoint.deduplicationCell() == endpoint.deduplicationCell()),
        "repeated outside the deduplication scope");
  }

  /** A rejection promises the client that a retry does no harm. */
  private static void checkRejection(ObservedRequest request) {
    RequestClass requestClass = request.requestClass;
    boolean mayHaveRun = request.attempts.stream().anyMatch(ObservedAttempt::mayHaveRun);
    assertTrue(
        !mayHaveRun
            || requestClass.effect() == RequestEffect.IDEMPOTENT
            || (requestClass.effect() == RequestEffect.IDEMPOTENT_WITH_KEY
                && requestClass.deduplicationScope() == DeduplicationScope.ALL),
        "the rejection promises too much");
    checkFinalAnswer(request);
  }

  private static void checkFinalAnswer(ObservedRequest request) {
    assertTrue(!request.answered, "more than one final answer");
    request.answered = true;
  }

  /** Checks that a request has its final answer or still has time for it. */
  void checkAnsweredInTime(long nowNanos, ObservedRequest request) {
    assertTrue(
        request.answered
            || nowNanos <= request.deadlineNanos + settings.serviceRules().responseSlackNanos(),
        "late: " + request.requestId);
  }

  void checkAllAnswered() {
    requests
        .values()
        .forEach(
            request -> assertTrue(request.answered, "no final answer for " + request.requestId));
  }
}
