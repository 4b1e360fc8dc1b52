package loadbalancer.proxy.coordinator;

import java.util.concurrent.TimeUnit;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.event.TimerFired;

/** Runs the timers that the policy sets. Confined to the event loop thread. */
final class PolicyTimers {

  private final CoordinatorEnvironment environment;
  private final PolicyEventQueue policyEvents;

  /**
   * Creates the timers.
   *
   * @param environment the clock and the event loop
   * @param policyEvents notifies the policy when a timer fires
   */
  PolicyTimers(CoordinatorEnvironment environment, PolicyEventQueue policyEvents) {
    this.environment = environment;
    this.policyEvents = policyEvents;
  }

  /** Starts a timer. One that is already due fires after the current event has been handled. */
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
