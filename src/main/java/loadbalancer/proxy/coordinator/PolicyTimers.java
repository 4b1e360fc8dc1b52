package loadbalancer.proxy.coordinator;

import java.util.concurrent.TimeUnit;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.event.TimerFired;

/** The timers that the policy sets. For the event loop's thread only. */
final class PolicyTimers {

  private final CoordinatorEnvironment environment;
  private final PolicyEventQueue policyEvents;

  /**
   * Makes timers.
   *
   * @param environment the clock and the event loop
   * @param policyEvents notifies the policy of a timer that fired
   */
  PolicyTimers(CoordinatorEnvironment environment, PolicyEventQueue policyEvents) {
    this.environment = environment;
    this.policyEvents = policyEvents;
  }

  /** Starts a timer; one that is due already fires after the present event was handled. */
  void set(SetTimer action) {
    long delayNanos = action.fireAtNanos() - environment.clock().nowNanos();
    environment
        .eventLoop()
        .schedule(
            () -> policyEvents.notifyPolicy(new TimerFired(action.timerId())),
            Math.max(0, delayNanos),
            TimeUnit.NANOSECONDS);
  }
}
