package loadbalancer.proxy.coordinator;

import loadbalancer.policy.action.FailRequest;
import loadbalancer.policy.action.RejectRequest;
import loadbalancer.proxy.http.UpstreamResponse;
import loadbalancer.proxy.telemetry.EventLog;
import loadbalancer.proxy.telemetry.TrafficCounters;

/**
 * Completes requests and sends each at most one final response. Counts rejections, failures and
 * client disconnects; {@link AttemptStatistics} counts served attempts. Confined to the event loop
 * thread.
 */
final class RequestCompleter {

  private final OpenRequestTable requests;
  private final PolicyEventQueue policyEvents;
  private final TrafficCounters counters;

  /**
   * Creates a completer.
   *
   * @param requests the open requests
   * @param policyEvents tells whether the arrival of a request is being handled
   * @param counters counts the completed requests that were not served
   */
  RequestCompleter(
      OpenRequestTable requests, PolicyEventQueue policyEvents, TrafficCounters counters) {
    this.requests = requests;
    this.policyEvents = policyEvents;
    this.counters = counters;
  }

  /** Sends the rejection that the policy decided on; has no effect on a completed request. */
  void reject(RejectRequest action) {
    OpenRequest request = requests.find(action.requestId());
    if (request != null && requests.complete(request)) {
      sendRejection(request, action.retryAfterNanos());
    }
  }

  /** Sends the failure that the policy decided on; has no effect on a completed request. */
  void fail(FailRequest action) {
    OpenRequest request = requests.find(action.requestId());
    if (request != null && requests.complete(request)) {
      sendFailure(request);
    }
  }

  /** Sends an upstream's response to the client; has no effect on a completed request. */
  void serve(OpenRequest request, UpstreamResponse response) {
    if (requests.complete(request)) {
      request.client().sendResponse(response);
    }
  }

  /**
   * Completes a request whose client has disconnected. Returns false if it was completed before.
   */
  boolean completeDisconnected(OpenRequest request) {
    if (!requests.complete(request)) {
      return false;
    }
    counters.clientDisconnected();
    return true;
  }

  /**
   * Completes a request that has no final response at its deadline. Returns false if it was
   * completed before.
   */
  boolean completeAtDeadline(OpenRequest request) {
    if (!requests.complete(request)) {
      return false;
    }
    EventLog.warnRateLimited(
        "coordinator: deadline reached without a policy decision request=" + request.id());
    respondWithoutPolicy(request);
    return true;
  }

  /** Completes all open requests without asking the policy. */
  void completeAll() {
    for (OpenRequest request : requests.snapshot()) {
      if (requests.complete(request)) {
        respondWithoutPolicy(request);
      }
    }
  }

  private void respondWithoutPolicy(OpenRequest request) {
    if (request.isSafeForClientRetry()) {
      sendRejection(request, 0);
    } else {
      sendFailure(request);
    }
  }

  private void sendRejection(OpenRequest request, long retryAfterNanos) {
    if (request.attemptCount() == 0 && policyEvents.isLatestEventArrival()) {
      counters.requestRejectedOnArrival();
    } else {
      counters.requestRejectedLater();
    }
    request.client().sendRejection(retryAfterNanos);
  }

  private void sendFailure(OpenRequest request) {
    counters.requestFailed();
    request.client().sendFailure();
  }
}
