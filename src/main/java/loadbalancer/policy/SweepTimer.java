package loadbalancer.policy;

import java.util.function.Consumer;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.SetTimer;

/**
 * The one timer of a policy. It is set anew only for an earlier time, as timers cannot be
 * cancelled; one that was overtaken by an earlier one is ignored when it fires.
 */
final class SweepTimer {
  /** The period of the sweeps while requests wait: short against any latency objective. */
  static final long QUEUE_PERIOD_NANOS = 10_000_000L;

  /** A balancer's timers may be coarser than its clock and fire this much early. */
  private static final long EARLY_TOLERANCE_NANOS = 1_000_000L;

  private static final String TIMER_ID = "sweep";
  private static final long NOT_SET = Long.MAX_VALUE;

  private long fireAtNanos = NOT_SET;

  /** Asks for a sweep at this time at the latest. */
  void schedule(long atNanos, Consumer<Action> actions) {
    if (atNanos < fireAtNanos) {
      fireAtNanos = atNanos;
      actions.accept(new SetTimer(TIMER_ID, atNanos));
    }
  }

  /** Whether a timer that fired now is the one that is set, which is then set no more. */
  boolean takeDue(long nowNanos) {
    if (nowNanos < fireAtNanos - EARLY_TOLERANCE_NANOS) {
      return false;
    }
    fireAtNanos = NOT_SET;
    return true;
  }
}
