package loadbalancer.proxy.upstream;

/**
 * Limits that apply to the connections to all upstreams taken together.
 *
 * @param connectTimeoutNanos the time allowed for opening a connection
 * @param idleTimeoutNanos the time after which upstreams close an idle connection
 * @param maxConnections the largest number of connections, including idle ones and those being
 *     opened
 */
public record ConnectionLimits(
    long connectTimeoutNanos, long idleTimeoutNanos, int maxConnections) {}
