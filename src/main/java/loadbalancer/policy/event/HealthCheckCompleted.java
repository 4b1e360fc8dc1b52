package loadbalancer.policy.event;

import java.util.Map;

/**
 * A health check completed.
 *
 * @param endpointId the identifier of the endpoint that was checked
 * @param status the outcome of the check
 * @param latencyNanos the time since the check was sent
 * @param loadReport the endpoint's load report; empty if it sent none
 */
public record HealthCheckCompleted(
    long endpointId, AttemptStatus status, long latencyNanos, Map<String, Double> loadReport)
    implements Event {}
