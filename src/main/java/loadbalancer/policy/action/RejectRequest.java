package loadbalancer.policy.action;

/**
 * Final answer: the request is rejected, and the client may safely send it again.
 *
 * @param requestId the request
 * @param retryAfterNanos how long the client should wait before it retries; 0 for no advice
 */
public record RejectRequest(String requestId, long retryAfterNanos) implements Action {}
