package loadbalancer.proxy.http;

import loadbalancer.policy.settings.RequestClass;

/**
 * A client's request, checked against the protocol and the settings.
 *
 * @param requestId unique among all requests, a client's retries included
 * @param requestClass the request's class
 * @param tenant the tenant, or null where the client named none
 * @param affinityKey what the request concerns, used for affinity; or null
 * @param timeLeftNanos how long the client waits for the response from now on, at most the class's
 *     deadline
 * @param workHintNanos the work to expect, as time on a standard core; 0 where no hint came
 * @param isClientRetry whether the client marked the request as a retry of its own
 * @param message what is forwarded to the upstream
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
