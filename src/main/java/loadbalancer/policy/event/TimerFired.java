package loadbalancer.policy.event;

/**
 * A timer that the policy set has fired.
 *
 * @param timerId the identifier from the action that set the timer
 */
public record TimerFired(String timerId) implements Event {}
