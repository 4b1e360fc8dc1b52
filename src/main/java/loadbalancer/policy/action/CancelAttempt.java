package loadbalancer.policy.action;

/**
 * Stop waiting for an attempt; whether the endpoint stops working on it is up to the endpoint.
 *
 * @param requestId the request
 * @param attempt the attempt's index, counted from 0 in forwarding order
 */
public record CancelAttempt(String requestId, int attempt) implements Action {}
