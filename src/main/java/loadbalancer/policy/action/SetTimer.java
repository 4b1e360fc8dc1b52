package loadbalancer.policy.action;

/**
 * Ask for a {@link loadbalancer.policy.event.TimerFired} event. Timers cannot be cancelled.
 *
 * @param timerId returned with the event
 * @param fireAtNanos when the timer is due, on the balancer's clock
 */
public record SetTimer(String timerId, long fireAtNanos) implements Action {}
