package loadbalancer.proxy.coordinator;

import java.util.Map;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.proxy.http.UpstreamResponse;
import loadbalancer.proxy.upstream.UpstreamAttempt;
import loadbalancer.proxy.upstream.UpstreamEndpoint;

/**
 * Handles completed attempts: sends the response of a served attempt to the client, counts the
 * attempt and notifies the policy of its outcome. Confined to the event loop thread.
 */
final class AttemptCompletionHandler {

  private final CoordinatorTables tables;
  private final RequestCompleter completer;
  private final AttemptStatistics statistics;
  private final PolicyEventQueue policyEvents;

  /**
   * Creates a handler.
   *
   * @param tables the tables of open requests and endpoints
   * @param completer sends responses to clients
   * @param statistics measures and counts the attempts
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
   * Handles a completed attempt; called once for each attempt that was started.
   *
   * @param request the attempt's request
   * @param endpoint the endpoint that the attempt was forwarded to
   * @param attempt the completed attempt
   * @param response the complete response; null if none was received
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
