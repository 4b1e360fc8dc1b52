package loadbalancer.policy.action;

/**
 * Closes this balancer's idle connections to an endpoint.
 *
 * @param endpointId the identifier of the endpoint
 */
public record CloseIdleConnections(long endpointId) implements Action {}
