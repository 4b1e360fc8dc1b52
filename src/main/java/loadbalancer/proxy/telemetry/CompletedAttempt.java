package loadbalancer.proxy.telemetry;

import java.net.InetSocketAddress;
import loadbalancer.policy.event.AttemptStatus;

/**
 * The figures of one completed attempt.
 *
 * @param address the endpoint's address
 * @param category what the latency can be compared with
 * @param status how the attempt completed
 * @param foundStaleConnection whether a pooled connection was found closed by the endpoint
 * @param sendDelayNanos nanoseconds from the decision to forward to the first byte sent
 * @param latencyNanos nanoseconds from the first byte sent to the attempt's completion
 */
public record CompletedAttempt(
    InetSocketAddress address,
    EndpointCategory category,
    AttemptStatus status,
    boolean foundStaleConnection,
    long sendDelayNanos,
    long latencyNanos) {}
