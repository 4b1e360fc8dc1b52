package loadbalancer.proxy.coordinator;

import java.util.Map;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.proxy.http.UpstreamResponse;
import loadbalancer.proxy.upstream.UpstreamAttempt;
import loadbalancer.proxy.upstream.UpstreamEndpoint;

/**
 * Handles the outcome of an attempt: a served one is the request's response; the policy is notified
 * of all. For the event loop's thread only.
 */
final class AttemptCompletionHandler {

  private final CoordinatorTables tables;
  private final RequestCompleter completer;
  private final AttemptStatistics statistics;
  private final PolicyEventQueue policyEvents;

  /**
   * Makes a handler.
   *
   * @param tables the open requests and the endpoints
   * @param completer sends responses to clients
   * @param statistics counts the attempts
   * @param policyEvents notifies the policy
   */
  AttemptCompletionHandler(
      CoordinatorTables tables,
      RequestCompleter completer,
      AttemptStatistics statistics,
      PolicyEventQueue policyEvents) {
    this.tables = tables;
    this.completer = completer;
    this.statistics = statistics;
    this.policyEvents = policyEvents;
  }

  /**
   * Handles a completed attempt.
   *
   * @param request the attempt's request
   * @param endpoint the endpoint that the attempt was forwarded to
   * @param attempt the attempt
   * @param response the complete response, or null where none came
   */
  void attemptCompleted(
      OpenRequest request,
      UpstreamEndpoint endpoint,
      UpstreamAttempt attempt,
      UpstreamResponse response) {
    tables.endpoints().attemptCompleted(endpoint);
    if (attempt.status() == AttemptStatus.SERVED) {
      completer.serve(request, response);
    }
    tables.requests().attemptCompleted(request);
    long latencyNanos = statistics.latencyNanos(attempt);
    statistics.attemptCompleted(attempt, endpoint, latencyNanos);
    policyEvents.notifyPolicy(
        new AttemptCompleted(
            request.id(),
            attempt.index(),
            attempt.endpointId(),
            attempt.status(),
            latencyNanos,
            request.isCompleted(),
            Map.of(),
            attempt.foundStaleConnection()));
  }
}
