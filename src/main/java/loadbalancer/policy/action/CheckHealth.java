package loadbalancer.policy.action;

/**
 * Send a health check to an endpoint.
 *
 * @param endpointId the endpoint to check
 */
public record CheckHealth(long endpointId) implements Action {}
