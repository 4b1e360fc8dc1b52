package loadbalancer.proxy.coordinator;

import loadbalancer.policy.action.CancelAttempt;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.proxy.upstream.AttemptPlan;
import loadbalancer.proxy.upstream.UpstreamAttempt;
import loadbalancer.proxy.upstream.UpstreamEndpoint;

/** Starts and cancels attempts as the policy decides. Confined to the event loop thread. */
final class AttemptForwarder {

  private final CoordinatorEnvironment environment;
  private final CoordinatorTables tables;
  private final ForwardingRules rules;
  private final AttemptCompletionHandler completionHandler;

  /**
   * Creates a forwarder.
   *
   * @param environment the clock and the event loop
   * @param tables the tables of open requests and endpoints
   * @param rules checked immediately before an attempt's first byte is written
   * @param completionHandler called when an attempt completes
   */
  AttemptForwarder(
      CoordinatorEnvironment environment,
      CoordinatorTables tables,
      ForwardingRules rules,
      AttemptCompletionHandler completionHandler) {
    this.environment = environment;
    this.tables = tables;
    this.rules = rules;
    this.completionHandler = completionHandler;
  }

  /**
   * Starts an attempt, which may complete before this method returns.
   *
   * @throws PolicyDefectException if the request is not open or the endpoint is unknown
   */
  void forward(ForwardAttempt action) {
    OpenRequest request = tables.requests().find(action.requestId());
    UpstreamEndpoint endpoint = tables.endpoints().find(action.endpointId());
    if (request == null || endpoint == null) {
      throw new PolicyDefectException("request not open or endpoint unknown: " + action);
    }
    UpstreamAttempt attempt =
        new UpstreamAttempt(
            plan(action, request, endpoint),
            endpoint.pool(),
            environment.clock(),
            (completed, status, response) ->
                completionHandler.attemptCompleted(request, endpoint, completed, response));
    tables.endpoints().attemptStarted(endpoint);
    request.addAttempt(attempt);
    attempt.start(environment.eventLoop());
  }

  private AttemptPlan plan(ForwardAttempt action, OpenRequest request, UpstreamEndpoint endpoint) {
    int index = request.attemptCount();
    long nowNanos = environment.clock().nowNanos();
    long timeLeftNanos = request.deadlineNanos() - nowNanos;
    long timeoutNanos =
        action.timeoutNanos() == 0 ? timeLeftNanos : Math.min(action.timeoutNanos(), timeLeftNanos);
    return new AttemptPlan(
        index,
        action.endpointId(),
        request.clientRequest(),
        nowNanos,
        timeoutNanos,
        () -> rules.mayStillForward(request, index, endpoint));
  }

  /**
   * Cancels an attempt; has no effect if the attempt has completed or was never started, or if the
   * request has finished.
   */
  void cancel(CancelAttempt action) {
    OpenRequest request = tables.requests().find(action.requestId());
    if (request != null && action.attempt() < request.attemptCount()) {
      request.attempt(action.attempt()).complete(AttemptStatus.CANCELLED, null);
    }
  }
}
