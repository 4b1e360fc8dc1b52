package loadbalancer.policy.event;

import java.util.Map;

/**
 * A health check ended.
 *
 * @param endpointId the endpoint that was checked
 * @param status how the check ended
 * @param latencyNanos the time since the check was sent
 * @param loadReport the endpoint's load report, empty where none came
 */
public record HealthCheckCompleted(
    long endpointId, AttemptStatus status, long latencyNanos, Map<String, Double> loadReport)
    implements Event {}
