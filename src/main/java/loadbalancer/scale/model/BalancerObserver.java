package loadbalancer.scale.model;

import loadbalancer.policy.event.AttemptStatus;

/** Observes the requests and attempts of the balancers of a service. */
public interface BalancerObserver {

  /**
   * A request ended; called exactly once for each request.
   *
   * @param latencyNanos the time since the request's arrival
   */
  void requestEnded(RequestOutcome outcome, long latencyNanos);

  /** An attempt was forwarded to an endpoint. */
  void attemptStarted(long endpointId);

  /** An attempt ended; called exactly once for each attempt. */
  void attemptCompleted(long endpointId, AttemptStatus status);
}
