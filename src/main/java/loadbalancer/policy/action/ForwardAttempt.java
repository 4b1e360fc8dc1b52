package loadbalancer.policy.action;

/**
 * Forwards a request to an endpoint, as its first attempt, a retry or a hedged request. The
 * attempts of a request are numbered from 0 in forwarding order.
 *
 * @param requestId the identifier of the request
 * @param endpointId the identifier of the endpoint
 * @param timeoutNanos the attempt's time-out; 0 for the time left until the request's deadline
 */
public record ForwardAttempt(String requestId, long endpointId, long timeoutNanos)
    implements Action {}
