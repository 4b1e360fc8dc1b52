package loadbalancer.policy;

import java.util.function.Consumer;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.CheckHealth;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.HealthCheckCompleted;
import loadbalancer.policy.event.TimerFired;

/**
 * Makes the decisions of one balancer: which requests are admitted, where they are forwarded, when
 * they are retried, rejected or failed, and when the endpoint list is watched.
 *
 * <p>Instances are not thread-safe: call {@link #handle} from one thread at a time and pass events
 * in the order in which they occurred. Times and durations are in nanoseconds. Clock readings have
 * no particular origin and never decrease. A policy is deterministic: it reads no clock and no
 * environment and uses no randomness other than its seed, so the same sequence of calls produces
 * the same actions.
 *
 * <p>The caller carries out the actions in the order in which it receives them, at the clock
 * reading of their event. It must report exactly one {@link AttemptCompleted} for every {@link
 * ForwardAttempt}, one {@link TimerFired} for every {@link SetTimer} and one {@link
 * HealthCheckCompleted} for every {@link CheckHealth}. An exception thrown by {@link #handle} is a
 * bug in the policy; the instance must not be used any further.
 */
public interface LoadBalancingPolicy {

  /**
   * Handles one event.
   *
   * @param nowNanos the clock reading at which the event is handled
   * @param event the event
   * @param actions receives the resulting actions, in the order in which to carry them out
   */
  void handle(long nowNanos, Event event, Consumer<Action> actions);
}
