package loadbalancer.policy;

import java.util.function.Consumer;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.SetTimer;

/**
 * The only timer of a policy. Timers cannot be cancelled, so a new one is set only if it is due
 * earlier than the current one. The replaced timer is ignored when it fires.
 */
final class SweepTimer {
  /** The sweep period while requests are queued; short relative to any latency objective. */
  static final long QUEUE_PERIOD_NANOS = 10_000_000L;

  /** How early a timer may fire, since a balancer's timers may be coarser than its clock. */
  private static final long EARLY_TOLERANCE_NANOS = 1_000_000L;

  private static final String TIMER_ID = "sweep";
  private static final long NOT_SET = Long.MAX_VALUE;

  private long fireAtNanos = NOT_SET;

  /** Schedules a sweep no later than the given time. */
  void schedule(long atNanos, Consumer<Action> actions) {
    if (atNanos < fireAtNanos) {
      fireAtNanos = atNanos;
      actions.accept(new SetTimer(TIMER_ID, atNanos));
    }
  }

  /**
   * Clears the current timer if it is due.
   *
   * @return whether it was due; false for a timer that was replaced by an earlier one
   */
  boolean clearIfDue(long nowNanos) {
    if (nowNanos < fireAtNanos - EARLY_TOLERANCE_NANOS) {
      return false;
    }
    fireAtNanos = NOT_SET;
    return true;
  }
}
