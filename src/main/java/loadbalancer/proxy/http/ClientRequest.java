package loadbalancer.proxy.http;

import loadbalancer.policy.settings.RequestClass;

/**
 * A client's request that has been validated against the protocol and the settings.
 *
 * @param requestId unique among all requests; a client's retry has an id of its own
 * @param requestClass the request's class, from the settings
 * @param tenant the tenant, or null if the request names none
 * @param affinityKey requests with the same key are sent to the same endpoint if possible; null if
 *     the request has none
 * @param timeLeftNanos how long the client waits for the response, counted from the receipt of the
 *     request; at most the class's deadline
 * @param workHintNanos the client's estimate of the work, as processing time on a standard core; 0
 *     if it gave none
 * @param isClientRetry whether the client marked the request as its own retry of an earlier one
 * @param message the parts that are forwarded to the upstream
 */
public record ClientRequest(
    String requestId,
    RequestClass requestClass,
    String tenant,
    String affinityKey,
    long timeLeftNanos,
    long workHintNanos,
    boolean isClientRetry,
    RequestMessage message) {}
