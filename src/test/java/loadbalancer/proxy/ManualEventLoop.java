package loadbalancer.proxy;

import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * An event loop with real sockets, whose timers run on a manual clock: time passes only when a test
 * calls {@link #advance}. The public methods other than {@link #schedule} are called on the thread
 * of the test.
 */
public final class ManualEventLoop extends SingleThreadIoEventLoop {

  private record Timer(long dueMillis, Runnable task, ScheduledFuture<?> handle) {}

  private final List<Timer> timers = new ArrayList<>();
  private long nowMillis;

  /** Creates a loop whose clock is at 0. */
  public ManualEventLoop() {
    super(null, new DefaultThreadFactory("manual-event-loop", true), NioIoHandler.newFactory());
  }

  /**
   * Schedules a task on the manual clock. Must be called on the thread of the loop, which also runs
   * the task.
   *
   * @return a handle that cancels the timer; its other state is meaningless
   */
  @Override
  public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
    // The handle is for cancellation only. No test runs long enough for it to fire.
    ScheduledFuture<?> handle = super.schedule(() -> {}, 1, TimeUnit.DAYS);
    timers.add(new Timer(nowMillis + unit.toMillis(delay), task, handle));
    return handle;
  }

  private Timer nextTimer() {
    timers.removeIf(timer -> timer.handle().isCancelled());
    return timers.stream().min(Comparator.comparingLong(Timer::dueMillis)).orElse(null);
  }

  /** Milliseconds to the next timer, read between two tasks of the loop; -1 if there is none. */
  public long millisToNextTimer() {
    return submit(() -> nextTimer() == null ? -1 : nextTimer().dueMillis() - nowMillis)
        .syncUninterruptibly()
        .getNow();
  }

  /** Advances the clock and runs, in order, the timers that become due; returns after they ran. */
  public void advance(long millis) {
    submit(
            () -> {
              long endMillis = nowMillis + millis;
              for (Timer due = nextTimer();
                  due != null && due.dueMillis() <= endMillis;
                  due = nextTimer()) {
                timers.remove(due);
                nowMillis = due.dueMillis();
                due.task().run();
              }
              nowMillis = endMillis;
            })
        .syncUninterruptibly();
  }
}
