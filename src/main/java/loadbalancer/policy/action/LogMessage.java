package loadbalancer.policy.action;

/**
 * Writes a line to the balancer's log.
 *
 * @param text the line without a line break
 */
public record LogMessage(String text) implements Action {}
