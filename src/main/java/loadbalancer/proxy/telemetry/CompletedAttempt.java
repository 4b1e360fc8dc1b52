package loadbalancer.proxy.telemetry;

import java.net.InetSocketAddress;
import loadbalancer.policy.event.AttemptStatus;

/**
 * The measurements of one completed attempt. Immutable.
 *
 * @param address the address of the endpoint
 * @param category the category of the endpoint, by which latencies are averaged
 * @param status the outcome of the attempt
 * @param foundStaleConnection whether a pooled connection turned out to be closed by the endpoint
 * @param sendDelayNanos time in nanoseconds from the decision to forward to the first byte sent
 * @param latencyNanos time in nanoseconds from the first byte sent to the completion of the attempt
 */
public record CompletedAttempt(
    InetSocketAddress address,
    EndpointCategory category,
    AttemptStatus status,
    boolean foundStaleConnection,
    long sendDelayNanos,
    long latencyNanos) {}
