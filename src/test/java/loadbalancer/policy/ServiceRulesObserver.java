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
 * Checks every action of a policy against the service's rules: one final response in time, no
 * unsafe retries and no new attempts to draining endpoints. It tracks requests and endpoints by
 * itself and shares no logic with the policy.
 */
final class ServiceRulesObserver {

  /** An attempt with its endpoint as listed when the attempt was forwarded. */
  static final class ObservedAttempt {
    /** The endpoint that the attempt was forwarded to. */
    final EndpointDescriptor endpoint;

    /** When the attempt was forwarded. */
    final long forwardedNanos;

    private AttemptStatus status;

    private ObservedAttempt(EndpointDescriptor endpoint, long forwardedNanos) {
      this.endpoint = endpoint;
      this.forwardedNanos = forwardedNanos;
    }

    boolean isInFlight() {
      return status == null;
    }

    /** Returns the outcome of the attempt, or null while it is in flight. */
    AttemptStatus status() {
      return status;
    }

    private boolean mayHaveRun() {
      return isInFlight() || !status.provesNotRun();
    }
  }

  /** A request that lacks its final response or has an attempt in flight. */
  static final class ObservedRequest {
    /** The identifier of the request. */
    final String requestId;

    /** When the client stops waiting. */
    final long deadlineNanos;

    /** The attempts in forwarding order. */
    final List<ObservedAttempt> attempts = new ArrayList<>();

    private final RequestClass requestClass;
    private boolean completed;

    private ObservedRequest(String requestId, RequestClass requestClass, long deadlineNanos) {
      this.requestId = requestId;
      this.requestClass = requestClass;
      this.deadlineNanos = deadlineNanos;
    }

    boolean isCompleted() {
      return completed;
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

  // ---- Events

  void endpointListed(EndpointDescriptor descriptor) {
    endpoints.put(descriptor.endpointId(), descriptor);
  }

  /** Returns all endpoints as last listed, including removed ones. */
  List<EndpointDescriptor> endpoints() {
    return List.copyOf(endpoints.values());
  }

  void requestArrived(String requestId, RequestClass requestClass, long deadlineNanos) {
    requests.put(requestId, new ObservedRequest(requestId, requestClass, deadlineNanos));
  }

  /** Returns the requests that lack their final response or have an attempt in flight. */
  List<ObservedRequest> requests() {
    return List.copyOf(requests.values());
  }

  void attemptCompleted(ObservedRequest request, ObservedAttempt attempt, AttemptStatus status) {
    attempt.status = status;
    request.completed |= status == AttemptStatus.SERVED;
  }

  void clientDisconnected(ObservedRequest request) {
    request.completed = true;
  }

  /** Removes the completed requests that have no attempt in flight. */
  void removeCompletedRequests() {
    requests.values().removeIf(request -> request.completed && !request.hasAttemptInFlight());
  }

  // ---- Checks

  void checkAction(long nowNanos, Action action) {
    if (action instanceof ForwardAttempt forward) {
      checkForwardAttempt(nowNanos, forward);
    } else if (action instanceof RejectRequest reject) {
      checkRejection(requests.get(reject.requestId()));
    } else if (action instanceof FailRequest fail) {
      checkFinalResponse(requests.get(fail.requestId()));
    } else if (action instanceof CancelAttempt) {
      assertTrue(
          settings.limits().cancellation(), "cancelled although the deployment does not allow it");
    }
  }

  private void checkForwardAttempt(long nowNanos, ForwardAttempt forward) {
    ObservedRequest request = requests.get(forward.requestId());
    EndpointDescriptor endpoint = endpoints.get(forward.endpointId());
    assertTrue(!request.completed, "forwarded after the final response");
    assertEquals(
        EndpointStatus.READY, endpoint.status(), "forwarded to an endpoint that is not ready");
    assertTrue(request.attempts.size() < settings.limits().maxAttempts(), "too many attempts");
    assertTrue(
        !request.hasAttemptInFlight() || settings.limits().hedging(),
        "hedged although the deployment does not allow it");
    assertTrue(nowNanos < request.deadlineNanos, "forwarded past the deadline");
    if (request.requestClass.effect() != RequestEffect.IDEMPOTENT) {
      for (ObservedAttempt earlier : request.attempts) {
        if (earlier.mayHaveRun()) {
          checkRetry(nowNanos, request.requestClass, earlier, endpoint);
        }
      }
    }
    request.attempts.add(new ObservedAttempt(endpoint, nowNanos));
  }

  /** Checks that a request that is not idempotent may be retried after an earlier attempt. */
  private static void checkRetry(
      long nowNanos,
      RequestClass requestClass,
      ObservedAttempt earlier,
      EndpointDescriptor endpoint) {
    assertEquals(
        RequestEffect.IDEMPOTENT_WITH_KEY,
        requestClass.effect(),
        "retried without an idempotency key");
    assertTrue(
        nowNanos - earlier.forwardedNanos < requestClass.deduplicationWindowNanos(),
        "retried after the deduplication window");
    DeduplicationScope scope = requestClass.deduplicationScope();
    assertTrue(
        scope == DeduplicationScope.ALL
            || (scope == DeduplicationScope.ZONE && earlier.endpoint.zone().equals(endpoint.zone()))
            || (scope == DeduplicationScope.CELL
                && earlier.endpoint.deduplicationCell() == endpoint.deduplicationCell()),
        "retried outside the deduplication scope");
  }

  /** Checks that a retry by the client is safe, which a rejection tells the client. */
  private static void checkRejection(ObservedRequest request) {
    RequestClass requestClass = request.requestClass;
    boolean mayHaveRun = request.attempts.stream().anyMatch(ObservedAttempt::mayHaveRun);
    assertTrue(
        !mayHaveRun
            || requestClass.effect() == RequestEffect.IDEMPOTENT
            || (requestClass.effect() == RequestEffect.IDEMPOTENT_WITH_KEY
                && requestClass.deduplicationScope() == DeduplicationScope.ALL),
        "rejected although a retry is not safe");
    checkFinalResponse(request);
  }

  private static void checkFinalResponse(ObservedRequest request) {
    assertTrue(!request.completed, "more than one final response");
    request.completed = true;
  }

  /** Checks that a request is completed or that its final response is not overdue. */
  void checkCompletedInTime(long nowNanos, ObservedRequest request) {
    assertTrue(
        request.completed
            || nowNanos <= request.deadlineNanos + settings.serviceRules().responseSlackNanos(),
        "no final response in time for " + request.requestId);
  }

  void checkAllCompleted() {
    requests
        .values()
        .forEach(
            request -> assertTrue(request.completed, "no final response for " + request.requestId));
  }
}
