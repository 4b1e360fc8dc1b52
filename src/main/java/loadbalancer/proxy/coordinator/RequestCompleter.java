package loadbalancer.proxy.coordinator;

import loadbalancer.policy.action.FailRequest;
import loadbalancer.policy.action.RejectRequest;
import loadbalancer.proxy.http.UpstreamResponse;
import loadbalancer.proxy.telemetry.EventLog;
import loadbalancer.proxy.telemetry.TrafficCounters;

/**
 * Completes requests: each gets at most one final response. Counts rejections, failures and
 * disconnects; served attempts are counted by {@link AttemptStatistics}. All state belongs to the
 * event loop.
 */
final class RequestCompleter {

  private final OpenRequestTable requests;
  private final PolicyEventQueue policyEvents;
  private final TrafficCounters counters;

  /**
   * Makes a completer.
   *
   * @param requests the open requests
   * @param policyEvents tells which event is being handled
   * @param counters counts the responses
   */
  RequestCompleter(
      OpenRequestTable requests, PolicyEventQueue policyEvents, TrafficCounters counters) {
    this.requests = requests;
    this.policyEvents = policyEvents;
    this.counters = counters;
  }

  /** Sends the rejection that the policy decided on, unless the request is completed. */
  void reject(RejectRequest action) {
    OpenRequest request = requests.find(action.requestId());
    if (request != null && requests.complete(request)) {
      sendRejection(request, action.retryAfterNanos());
    }
  }

  /** Sends the failure that the policy decided on, unless the request is completed. */
  void fail(FailRequest action) {
    OpenRequest request = requests.find(action.requestId());
    if (request != null && requests.complete(request)) {
      sendFailure(request);
    }
  }

  /** Sends an upstream's response, unless the request is completed. */
  void serve(OpenRequest request, UpstreamResponse response) {
    if (requests.complete(request)) {
      request.client().sendResponse(response);
    }
  }

  /** Completes a request whose client disconnected; false if it was completed before. */
  boolean completeDisconnected(OpenRequest request) {
    if (!requests.complete(request)) {
      return false;
    }
    counters.clientDisconnected();
    return true;
  }

  /**
   * Completes a request that the policy has not decided on in time; false if it was completed
   * before.
   */
  boolean completeAtDeadline(OpenRequest request) {
    if (!requests.complete(request)) {
      return false;
    }
    EventLog.warnRateLimited(
        "coordinator: deadline reached without a policy decision request=" + request.id());
    sendWithoutPolicy(request);
    return true;
  }

  /** Completes all open requests without the policy. */
  void completeAll() {
    for (OpenRequest request : requests.snapshot()) {
      if (requests.complete(request)) {
        sendWithoutPolicy(request);
      }
    }
  }

  private void sendWithoutPolicy(OpenRequest request) {
    if (request.mayBeRejected()) {
      sendRejection(request, 0);
    } else {
      sendFailure(request);
    }
  }

  private void sendRejection(OpenRequest request, long retryAfterNanos) {
    if (request.attemptCount() == 0 && policyEvents.isLatestEventAnArrival()) {
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
