package loadbalancer.policy.action;

/**
 * Final answer: the request failed, with no promise of whether it ran.
 *
 * @param requestId the request
 */
public record FailRequest(String requestId) implements Action {}
