package loadbalancer.policy.action;

/**
 * Start or end the watch of the endpoint list. A start is answered by one endpoint list update.
 *
 * @param enabled whether the list is to be watched
 */
public record WatchEndpoints(boolean enabled) implements Action {}
