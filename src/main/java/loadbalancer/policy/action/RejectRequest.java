package loadbalancer.policy.action;

/**
 * Sends the final response that the request was rejected and that the client may safely retry it.
 *
 * @param requestId the identifier of the request
 * @param retryAfterNanos how long the client should wait before a retry; 0 if unspecified
 */
public record RejectRequest(String requestId, long retryAfterNanos) implements Action {}
