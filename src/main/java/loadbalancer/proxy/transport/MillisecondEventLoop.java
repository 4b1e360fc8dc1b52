package loadbalancer.proxy.transport;

import io.netty.channel.IoHandlerFactory;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * An event loop whose timers fire at the next whole millisecond or later.
 *
 * <p>The NIO selector waits in milliseconds, and Netty rounds the time to the next timer to the
 * nearest one. Woken up to half a millisecond early, the loop would poll its sockets in a busy loop
 * until the timer is due. Rounding up delays a timer by less than a millisecond instead.
 */
public final class MillisecondEventLoop extends SingleThreadIoEventLoop {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Makes a loop that runs once its first task is submitted.
   *
   * @param ioHandlerFactory makes the handler of the loop's sockets
   */
  public MillisecondEventLoop(IoHandlerFactory ioHandlerFactory) {
    super(null, new DefaultThreadFactory("loop"), ioHandlerFactory);
  }

  /** The time to the next timer, rounded up to whole milliseconds. */
  @Override
  protected long delayNanos(long currentTimeNanos) {
    long delayNanos = super.delayNanos(currentTimeNanos);
    if (delayNanos > Long.MAX_VALUE - NANOS_PER_MILLI) {
      return delayNanos;
    }
    return (delayNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI * NANOS_PER_MILLI;
  }
}
