package loadbalancer.policy.action;

/**
 * Sends a health check to an endpoint.
 *
 * @param endpointId the identifier of the endpoint
 */
public record CheckHealth(long endpointId) implements Action {}
