package loadbalancer.policy.event;

/**
 * A client's request arrived. It needs exactly one final response by its deadline, unless the
 * client disconnects first.
 *
 * @param requestId unique among all requests; a client's retry is a new request
 * @param className the name of the request class in the settings
 * @param tenant the name of the tenant, or null if the deployment has no tenants
 * @param affinityKey identifies what the request concerns; requests with the same key are sent to
 *     the same endpoint if possible; null if the request has none
 * @param deadlineNanos when the final response is due, on the balancer's clock; the client stops
 *     waiting then or shortly afterwards
 * @param workHintNanos the expected work, as time on a standard core; 0 if there was no hint
 * @param isClientRetry whether the client marked the request as its own retry of an earlier one
 */
public record RequestArrived(
    String requestId,
    String className,
    String tenant,
    String affinityKey,
    long deadlineNanos,
    long workHintNanos,
    boolean isClientRetry)
    implements Event {}
