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

/** How the event loop waits for its timers. */
class MillisecondEventLoopTest {

  private static final int TIMERS = 50;
  private static final long TIMER_DELAY_NANOS = 2_300_000L;

  /** A busy wait for a timer would be hundreds of selector rounds for each timer. */
  @Test
  void waitingForATimerTakesNoBusyLoop() throws Exception {
    AtomicInteger rounds = new AtomicInteger();
    SelectStrategy countingStrategy =
        (selectNow, tasks) -> {
          rounds.incrementAndGet();
          return tasks ? selectNow.get() : SelectStrategy.SELECT;
        };
    MillisecondEventLoop loop =
        new MillisecondEventLoop(
            NioIoHandler.newFactory(SelectorProvider.provider(), () -> countingStrategy));
    try {
      CountDownLatch fired = new CountDownLatch(TIMERS);
      loop.execute(() -> scheduleNext(loop, fired));
      fired.await();
      assertTrue(rounds.get() <= 4 * TIMERS, "rounds: " + rounds);
    } finally {
      loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }

  private static void scheduleNext(MillisecondEventLoop loop, CountDownLatch fired) {
    loop.schedule(
        () -> {
          fired.countDown();
          if (fired.getCount() > 0) {
            scheduleNext(loop, fired);
          }
        },
        TIMER_DELAY_NANOS,
        TimeUnit.NANOSECONDS);
  }

  @Test
  void delayIsInWholeMillisecondsAndNoShorterThanTheTimers() throws Exception {
    MillisecondEventLoop loop = new MillisecondEventLoop(NioIoHandler.newFactory());
    try {
      loop.submit(
              () -> {
                long nowNanos = System.nanoTime();
                loop.schedule(() -> {}, 1, TimeUnit.HOURS);
                for (int i = 0; i < 3; i++) {
                  long delayNanos = loop.delayNanos(nowNanos + i);
                  assertEquals(0, delayNanos % 1_000_000);
                  assertTrue(delayNanos >= TimeUnit.HOURS.toNanos(1) - i, "delay " + delayNanos);
                }
              })
          .sync();
    } finally {
      loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }
}
