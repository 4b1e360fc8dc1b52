package loadbalancer.policy.action;

/**
 * Starts or ends the watch of the endpoint list. A start results in one endpoint list update.
 *
 * @param enabled true to start the watch, false to end it
 */
public record WatchEndpoints(boolean enabled) implements Action {}
