package loadbalancer.proxy.downstream;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Pauses reading from a client after an invalid request, which the client may repeat at full speed.
 * Its connection stays open, since after a close the client would reconnect at once. Belongs to the
 * event loop.
 */
final class ReadPenalty {

  private static final long PENALTY_MILLIS = 500;

  private boolean isActive;

  /** Starts a penalty; {@code onEnd} runs on the executor once it is over. */
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

  /** Whether the connection is not to be read. */
  boolean isActive() {
    return isActive;
  }
}
