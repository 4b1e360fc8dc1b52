package loadbalancer.policy.event;

/**
 * The client left, so no answer is owed any more.
 *
 * @param requestId the request that the client waited for
 */
public record ClientDisconnected(String requestId) implements Event {}
