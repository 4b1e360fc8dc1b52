package loadbalancer.policy.action;

/**
 * Forward the request to an endpoint: its first attempt, a retry or a hedged request. A request's
 * attempts are numbered from 0 in forwarding order.
 *
 * @param requestId the request
 * @param endpointId the endpoint to forward to
 * @param timeoutNanos the attempt's time-out; 0 for the request's deadline
 */
public record ForwardAttempt(String requestId, long endpointId, long timeoutNanos)
    implements Action {}
