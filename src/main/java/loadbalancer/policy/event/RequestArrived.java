package loadbalancer.policy.event;

/**
 * A client's request, which is owed exactly one final answer by its deadline.
 *
 * @param requestId unique among all requests, retries of clients included
 * @param className the request class, as named in the settings
 * @param tenant the tenant, or null where the deployment has none
 * @param key what the request concerns, used for affinity; or null
 * @param deadlineNanos when the client stops waiting, on the balancer's clock
 * @param workHintNanos the work to expect, as time on a standard core; 0 where no hint came
 * @param clientRetry whether the client marked the request as a retry of its own
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
