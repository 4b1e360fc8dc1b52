package loadbalancer.policy.settings;

/**
 * The figures of the rules that a balancer must keep.
 *
 * @param responseSlackNanos how long after a request's deadline its final answer still counts
 * @param maxPollIntervalNanos where the endpoint list is polled, the longest time between two
 *     polls; 0 where it is pushed
 * @param drainGraceNanos how long after the notification a draining endpoint may still get requests
 * @param initialCapacityFraction the fraction of its capacity that a restarted endpoint starts with
 * @param warmUpNanos when a restarted endpoint has its full capacity at the latest
 * @param overloadMultiple the multiple of its present capacity at which a warming endpoint fails
 * @param overloadWindowNanos for how long that multiple has to last
 */
public record ServiceRules(
    long responseSlackNanos,
    long maxPollIntervalNanos,
    long drainGraceNanos,
    double initialCapacityFraction,
    long warmUpNanos,
    double overloadMultiple,
    long overloadWindowNanos) {}
