package loadbalancer.policy.event;

/**
 * A streamed response has started. From now on the request is bound to this attempt and has no
 * deadline until the attempt completes.
 *
 * @param requestId the identifier of the request
 * @param attempt the attempt's index, counted from 0 in forwarding order
 * @param endpointId the identifier of the responding endpoint
 * @param latencyNanos the time since the attempt was forwarded
 */
public record ResponseStarted(String requestId, int attempt, long endpointId, long latencyNanos)
    implements Event {}
