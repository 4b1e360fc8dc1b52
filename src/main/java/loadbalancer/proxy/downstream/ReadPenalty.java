package loadbalancer.proxy.downstream;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Pauses reading from a connection after an invalid request, to limit the rate at which a client
 * can repeat it. The connection stays open, because the client could reconnect immediately if it
 * were closed. Not thread-safe: for use on the event loop.
 */
final class ReadPenalty {

  private static final long PENALTY_MILLIS = 500;

  private boolean isActive;

  /** Starts the penalty; {@code onEnd} runs on the executor when the penalty ends. */
  void start(EventExecutor executor, Runnable onEnd) {
    isActive = true;
    executor.schedule(
        () -> {
          isActive = false;
          onEnd.run();
        },
        PENALTY_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Returns whether reading from the connection is paused. */
  boolean isActive() {
    return isActive;
  }
}
