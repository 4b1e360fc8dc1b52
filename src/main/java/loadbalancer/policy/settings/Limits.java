package loadbalancer.policy.settings;

/**
 * The optional features that the deployment allows, and its resource limits.
 *
 * @param cancellation whether attempts may be cancelled
 * @param healthChecks whether endpoints may be sent health checks
 * @param peerMessages whether balancers may send messages to each other
 * @param hedging whether a request may have two attempts in flight
 * @param retryAfter whether rejections tell the client how long to wait
 * @param maxRetryAfterNanos the longest such wait that clients respect
 * @param maxAttempts the maximum number of attempts per request
 * @param maxPendingRequests the maximum number of requests pending in one balancer
 * @param streamsPerConnection the maximum number of concurrent attempts on one connection
 * @param connectTimeoutNanos the time-out for establishing a connection
 * @param connectionIdleTimeoutNanos the idle time after which endpoints close a connection
 */
public record Limits(
    boolean cancellation,
    boolean healthChecks,
    boolean peerMessages,
    boolean hedging,
    boolean retryAfter,
    long maxRetryAfterNanos,
    int maxAttempts,
    int maxPendingRequests,
    int streamsPerConnection,
    long connectTimeoutNanos,
    long connectionIdleTimeoutNanos) {}
