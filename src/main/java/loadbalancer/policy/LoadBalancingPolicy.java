package loadbalancer.policy;

import java.util.function.Consumer;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.CheckHealth;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.TimerFired;

/**
 * The decisions of one balancer: which requests are admitted, where they are forwarded, when they
 * are retried, rejected or failed, and how the endpoint list is followed.
 *
 * <p>An instance is single-threaded: call {@link #handle} from one thread at a time, with events in
 * the order in which they happened. Times and durations are nanoseconds; a clock reading has no
 * particular origin and never goes back. A policy reads no clock, no environment and no source of
 * randomness but its seed, so the same calls give the same actions.
 *
 * <p>Actions are to be carried out in the order in which they are handed over, at the clock reading
 * of their event. Every {@link ForwardAttempt} is owed exactly one {@link AttemptCompleted}, every
 * {@link SetTimer} one {@link TimerFired}, every {@link CheckHealth} one {@link
 * HealthCheckCompleted}. An exception out of {@link #handle} is a defect: drop the instance.
 */
public interface LoadBalancingPolicy {

  /**
   * Handles one event at clock reading {@code nowNanos}; actions go to {@code actions} in order.
   */
  void handle(long nowNanos, Event event, Consumer<Action> actions);
}
