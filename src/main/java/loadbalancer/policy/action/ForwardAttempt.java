package loadbalancer.policy.action;

/**
 * Forwards a request to an endpoint, as its first attempt, a retry or a hedged request. The
 * attempts of a request are numbered from 0 in forwarding order.
 *
 * @param requestId the id of the request
 * @param endpointId the id of the endpoint
 * @param timeoutNanos the attempt's timeout; 0 for the time left until the request's deadline
 */
public record ForwardAttempt(String requestId, long endpointId, long timeoutNanos)
    implements Action {}
