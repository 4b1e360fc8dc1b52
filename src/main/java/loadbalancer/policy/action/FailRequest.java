package loadbalancer.policy.action;

/**
 * Sends the final response that the request failed. It does not state whether the request ran.
 *
 * @param requestId the identifier of the request
 */
public record FailRequest(String requestId) implements Action {}
