package loadbalancer.proxy.upstream;

/**
 * Limits on the connections to all upstreams together.
 *
 * @param connectTimeoutNanos how long a connection may take to come up
 * @param idleTimeoutNanos when upstreams close an idle connection
 * @param maxConnections the most connections, idle ones and those coming up included
 */
public record ConnectionLimits(
    long connectTimeoutNanos, long idleTimeoutNanos, int maxConnections) {}
