package loadbalancer.policy.event;

/**
 * A client disconnected before the final response of its request, which is not needed any more.
 *
 * @param requestId the identifier of the request
 */
public record ClientDisconnected(String requestId) implements Event {}
