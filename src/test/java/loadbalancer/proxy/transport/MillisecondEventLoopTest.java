package loadbalancer.proxy.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** How an event loop waits for its timers. */
class MillisecondEventLoopTest {

  private static final int TIMERS = 50;
  private static final long TIMER_NANOS = 2_300_000L;

  /**
   * Guards the core: rounds that find nothing to do until a timer is due, hundreds of them for each
   * timer.
   */
  @Test
  void noRoundsAreSpentOnWaitingForATimer() throws Exception {
    AtomicInteger rounds = new AtomicInteger();
    SelectStrategy counting =
        (selectNow, tasks) -> {
          rounds.incrementAndGet();
          return tasks ? selectNow.get() : SelectStrategy.SELECT;
        };
    MillisecondEventLoop loop =
        new MillisecondEventLoop(
            NioIoHandler.newFactory(SelectorProvider.provider(), () -> counting));
    try {
      CountDownLatch fired = new CountDownLatch(TIMERS);
      loop.execute(() -> next(loop, fired));
      fired.await();
      assertTrue(rounds.get() <= 4 * TIMERS, "rounds: " + rounds);
    } finally {
      loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }

  private static void next(MillisecondEventLoop loop, CountDownLatch fired) {
    loop.schedule(
        () -> {
          fired.countDown();
          if (fired.getCount() > 0) {
            next(loop, fired);
          }
        },
        TIMER_NANOS,
        TimeUnit.NANOSECONDS);
  }

  @Test
  void waitIsWholeMillisecondsAndNoShorterThanTheTimers() throws Exception {
    MillisecondEventLoop loop = new MillisecondEventLoop(NioIoHandler.newFactory());
    try {
      loop.submit(
              () -> {
                long before = System.nanoTime();
                loop.schedule(() -> {}, 1, TimeUnit.HOURS);
                for (int i = 0; i < 3; i++) {
                  long wait = loop.delayNanos(before + i);
                  assertEquals(0, wait % 1_000_000);
                  assertTrue(wait >= TimeUnit.HOURS.toNanos(1) - i, "waits " + wait);
                }
              })
          .sync();
    } finally {
      loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }
}
