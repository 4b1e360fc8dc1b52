package loadbalancer.policy.event;

/**
 * A client's request arrived. It needs exactly one final response by its deadline, unless the
 * client disconnects first.
 *
 * @param requestId unique among all requests; a client's retry is a new request
 * @param className the name of the request class in the settings
 * @param tenant the name of the tenant, or null if the deployment has no tenants
 * @param key identifies what the request concerns and is used for affinity; null if there is none
 * @param deadlineNanos when the client stops waiting, on the balancer's clock
 * @param workHintNanos the expected work, as time on a standard core; 0 if there was no hint
 * @param clientRetry whether the client marked the request as a retry
 */
public record RequestArrived(
    String requestId,
    String className,
    String tenant,
    String key,
    long deadlineNanos,
    long workHintNanos,
    boolean clientRetry)
    implements Event {}
