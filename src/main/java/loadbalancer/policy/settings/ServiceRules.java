package loadbalancer.policy.settings;

/**
 * The parameters of the service's rules, which every balancer must follow.
 *
 * @param responseSlackNanos how long after a request's deadline its final answer still counts
 * @param maxPollIntervalNanos the longest time between two polls of the endpoint list; 0 if it is
 *     pushed
 * @param drainGraceNanos how long after the notification a draining endpoint may still get requests
 * @param initialCapacityFraction the fraction of its capacity that a restarted endpoint starts with
 * @param warmUpNanos the time after which a restarted endpoint has its full capacity at the latest
 * @param overloadMultiple the multiple of its present capacity at which an endpoint that is warming
 *     up fails
 * @param overloadWindowNanos how long the load must stay at that multiple for the endpoint to fail
 */
public record ServiceRules(
    long responseSlackNanos,
    long maxPollIntervalNanos,
    long drainGraceNanos,
    double initialCapacityFraction,
    long warmUpNanos,
    double overloadMultiple,
    long overloadWindowNanos) {}
