package loadbalancer.proxy;

import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An event loop with real sockets whose timers follow a clock that only the test advances. */
public final class ManualEventLoop extends SingleThreadIoEventLoop {

  private record Timer(long atMillis, Runnable task, ScheduledFuture<?> handle) {}

  private final List<Timer> timers = new ArrayList<>();
  private long nowMillis;

  /** Makes a loop whose clock stands at 0. */
  public ManualEventLoop() {
    super(null, new DefaultThreadFactory("manual-event-loop", true), NioIoHandler.newFactory());
  }

  /** Called on the thread of the loop only, as are the timers. */
  @Override
  public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
    // The handle only carries cancellation: no test lasts until it fires by itself.
    ScheduledFuture<?> handle = super.schedule(() -> {}, 1, TimeUnit.DAYS);
    timers.add(new Timer(nowMillis + unit.toMillis(delay), task, handle));
    return handle;
  }

  private Timer earliest() {
    timers.removeIf(timer -> timer.handle().isCancelled());
    return timers.stream().min(Comparator.comparingLong(Timer::atMillis)).orElse(null);
  }

  /** Milliseconds to the next timer, read between two tasks of the loop; -1 if there is none. */
  public long millisToNextTimer() {
    return submit(() -> earliest() == null ? -1 : earliest().atMillis() - nowMillis)
        .syncUninterruptibly()
        .getNow();
  }

  /** Advances the clock and runs the timers that come due on the way, in order. */
  public void advance(long millis) {
    submit(
            () -> {
              long endMillis = nowMillis + millis;
              for (Timer due = earliest();
                  due != null && due.atMillis() <= endMillis;
                  due = earliest()) {
                timers.remove(due);
                nowMillis = due.atMillis();
                due.task().run();
              }
              nowMillis = endMillis;
            })
        .syncUninterruptibly();
  }
}
