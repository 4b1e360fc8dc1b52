package loadbalancer.policy.event;

/**
 * A timer that the policy set has come due.
 *
 * @param timerId the identifier given when the timer was set
 */
public record TimerFired(String timerId) implements Event {}
