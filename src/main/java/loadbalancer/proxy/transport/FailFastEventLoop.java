package loadbalancer.proxy.transport;

import io.netty.channel.IoHandlerFactory;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.proxy.telemetry.EventLog;

/**
 * An event loop that reports the failure of its thread, and whose periodic tasks survive their own
 * exceptions. Netty only logs the former, and the process would go on running without anything that
 * handles its sockets; it drops a periodic task that throws without a word.
 */
public class FailFastEventLoop extends SingleThreadIoEventLoop {

  private final Consumer<Throwable> failureHandler;

  /**
   * Creates an event loop, whose thread starts when the first task is submitted.
   *
   * @param ioHandlerFactory creates the handler of the loop's I/O
   * @param failureHandler called on the loop's thread with the exception or error that ends it;
   *     there may be no memory left for new objects
   */
  public FailFastEventLoop(IoHandlerFactory ioHandlerFactory, Consumer<Throwable> failureHandler) {
    super(null, new DefaultThreadFactory("loop"), ioHandlerFactory);
    this.failureHandler = failureHandler;
  }

  @Override
  public ScheduledFuture<?> scheduleAtFixedRate(
      Runnable task, long initialDelay, long period, TimeUnit unit) {
    return super.scheduleAtFixedRate(() -> runPeriodic(task), initialDelay, period, unit);
  }

  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(
      Runnable task, long initialDelay, long delay, TimeUnit unit) {
    return super.scheduleWithFixedDelay(() -> runPeriodic(task), initialDelay, delay, unit);
  }

  /** Runs a periodic task once; after an exception, it runs again when it is next due. */
  private void runPeriodic(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      EventLog.error("lifecycle: periodic task failed error=" + e);
    } catch (Error e) {
      failureHandler.accept(e);
      throw e;
    }
  }

  @Override
  protected void run() {
    try {
      super.run();
    } catch (Throwable failure) {
      failureHandler.accept(failure);
      throw failure;
    }
  }
}
