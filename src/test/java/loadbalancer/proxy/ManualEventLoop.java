package loadbalancer.proxy;

import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An event loop with real sockets whose timers go by a clock that only the test moves on. */
public final class ManualEventLoop extends SingleThreadIoEventLoop {

  private record Timer(long atMillis, Runnable task, ScheduledFuture<?> handle) {}

  private final List<Timer> timers = new ArrayList<>();
  private long now;

  public ManualEventLoop() {
    super(null, new DefaultThreadFactory("clock-loop", true), NioIoHandler.newFactory());
  }

  /** Timers are set and fired on the loop's thread alone. */
  @Override
  public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
    // The handle is there to be cancelled: no test lasts so long that it fires by itself.
    ScheduledFuture<?> handle = super.schedule(() -> {}, 1, TimeUnit.DAYS);
    timers.add(new Timer(now + unit.toMillis(delay), task, handle));
    return handle;
  }

  private Timer earliest() {
    timers.removeIf(t -> t.handle().isCancelled());
    return timers.stream().min(Comparator.comparingLong(Timer::atMillis)).orElse(null);
  }

  /** Time to the next timer, seen between two pieces of the loop's work; -1 where there is none. */
  public long untilNext() {
    return submit(() -> earliest() == null ? -1 : earliest().atMillis() - now)
        .syncUninterruptibly()
        .getNow();
  }

  /** Moves the clock on, with the timers that come due on the way. */
  public void pass(long millis) {
    submit(
            () -> {
              long end = now + millis;
              for (Timer due = earliest(); due != null && due.atMillis() <= end; due = earliest()) {
                timers.remove(due);
                now = due.atMillis();
                due.task().run();
              }
              now = end;
            })
        .syncUninterruptibly();
  }
}
