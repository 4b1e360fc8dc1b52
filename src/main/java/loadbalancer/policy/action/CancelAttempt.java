package loadbalancer.policy.action;

/**
 * Cancels an attempt: the balancer stops waiting for it. The endpoint may still complete the work.
 *
 * @param requestId the identifier of the attempt's request
 * @param attempt the attempt's index, counted from 0 in forwarding order
 */
public record CancelAttempt(String requestId, int attempt) implements Action {}
