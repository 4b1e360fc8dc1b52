package loadbalancer.policy.settings;

/**
 * What the deployment allows.
 *
 * @param cancellation whether attempts may be cancelled
 * @param healthChecks whether endpoints may be sent health checks
 * @param peerMessages whether balancers may send each other messages
 * @param hedging whether a request may have two attempts in flight
 * @param retryAfter whether clients are told how long to wait after a rejection
 * @param maxRetryAfterNanos the longest such wait that clients follow
 * @param maxAttempts the most attempts of one request
 * @param maxOpenRequests the most requests that one balancer holds
 * @param streamsPerConnection how many attempts one connection carries at a time
 * @param connectTimeoutNanos how long a connection may take to come up
 * @param connectionIdleTimeoutNanos when endpoints close an idle connection
 */
public record Limits(
    boolean cancellation,
    boolean healthChecks,
    boolean peerMessages,
    boolean hedging,
    boolean retryAfter,
    long maxRetryAfterNanos,
    int maxAttempts,
    int maxOpenRequests,
    int streamsPerConnection,
    long connectTimeoutNanos,
    long connectionIdleTimeoutNanos) {}
