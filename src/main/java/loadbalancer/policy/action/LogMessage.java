package loadbalancer.policy.action;

/**
 * Write a line to the balancer's log.
 *
 * @param text the line, without a line break
 */
public record LogMessage(String text) implements Action {}
