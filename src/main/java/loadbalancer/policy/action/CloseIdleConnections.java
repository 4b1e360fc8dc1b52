package loadbalancer.policy.action;

/**
 * Close this balancer's idle connections to an endpoint.
 *
 * @param endpointId the endpoint
 */
public record CloseIdleConnections(long endpointId) implements Action {}
