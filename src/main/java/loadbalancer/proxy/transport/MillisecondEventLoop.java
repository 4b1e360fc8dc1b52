package loadbalancer.proxy.transport;

import io.netty.channel.IoHandlerFactory;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * An event loop whose timers fire at the next whole millisecond or later. NIO waits in
 * milliseconds, and Netty rounds the time to the next timer to the nearest: woken up to half of one
 * too early, it then looks at its sockets over and over until the timer is due, a hundred times a
 * second with this balancer's timers. On a part of a core that is the time of requests. It costs a
 * timer less than a millisecond.
 */
public final class MillisecondEventLoop extends SingleThreadIoEventLoop {

  private static final long MILLI = 1_000_000L;

  public MillisecondEventLoop(IoHandlerFactory handler) {
    super(null, new DefaultThreadFactory("loop"), handler);
  }

  /** The time to the next timer, in whole milliseconds that are no less. */
  @Override
  protected long delayNanos(long now) {
    long delay = super.delayNanos(now);
    return delay > Long.MAX_VALUE - MILLI ? delay : (delay + MILLI - 1) / MILLI * MILLI;
  }
}
