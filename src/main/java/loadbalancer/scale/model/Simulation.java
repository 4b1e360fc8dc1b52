package loadbalancer.scale.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * An event queue in simulated time. Tasks run in order of their due times, and tasks that are due
 * at the same time run in the order in which they were scheduled.
 */
public final class Simulation {

  private static final Comparator<ScheduledTask> DUE_ORDER =
      Comparator.comparingLong(ScheduledTask::dueNanos).thenComparingLong(ScheduledTask::sequence);

  private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>(DUE_ORDER);
  private long nowNanos;
  private long nextSequence;

  private record ScheduledTask(long dueNanos, long sequence, Runnable task) {}

  /** The simulated time since the start of the simulation. */
  public long nowNanos() {
    return nowNanos;
  }

  /**
   * Schedules a task.
   *
   * @param delayNanos the simulated time from now until the task is due; not negative
   * @param task the task, which may schedule further tasks
   */
  public void schedule(long delayNanos, Runnable task) {
    if (delayNanos < 0) {
      throw new IllegalArgumentException("delayNanos must be at least 0, but is " + delayNanos);
    }
    queue.add(new ScheduledTask(Math.addExact(nowNanos, delayNanos), nextSequence, task));
    nextSequence++;
  }

  /**
   * Runs all tasks that are due up to a time, and sets the clock to that time.
   *
   * @param untilNanos the simulated time at which to stop; not before the current time
   */
  public void run(long untilNanos) {
    if (untilNanos < nowNanos) {
      throw new IllegalArgumentException(
          "untilNanos must be at least " + nowNanos + ", but is " + untilNanos);
    }
    while (!queue.isEmpty() && queue.peek().dueNanos() <= untilNanos) {
      ScheduledTask next = queue.remove();
      nowNanos = next.dueNanos();
      next.task().run();
    }
    nowNanos = untilNanos;
  }
}
