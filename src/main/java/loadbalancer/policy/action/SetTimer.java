package loadbalancer.policy.action;

/**
 * Sets a timer that results in one {@link loadbalancer.policy.event.TimerFired} event. Timers
 * cannot be cancelled.
 *
 * @param timerId the identifier of the timer, copied into the event
 * @param fireAtNanos when the timer is due, on the balancer's clock
 */
public record SetTimer(String timerId, long fireAtNanos) implements Action {}
