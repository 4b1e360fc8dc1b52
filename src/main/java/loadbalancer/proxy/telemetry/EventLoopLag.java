package loadbalancer.proxy.telemetry;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * How far the event loop is behind, seen by a timer that comes late. What comes in on a socket
 * meanwhile waits unread, and without this the wait would count as the upstream's latency: a
 * balancer that is short of CPU, as after a start, would take itself for an overload of all
 * upstreams. It covers any pause of the process as well (a collection, a core that others use). It
 * hurts where upstreams are slow just as long as the loop is, by half of its lag at most.
 */
public final class EventLoopLag {

  /** Short against any aim, and a hundred timers a second cost next to nothing. */
  private static final long PERIOD_NANOS = 10_000_000L;

  /** What waited came at any time since the loop last looked: half of that on average. */
  private static final int WAIT_PART = 2;

  private final EventLoop loop;
  private long due;
  private long late;

  public EventLoopLag(EventLoop loop) {
    this.loop = loop;
    loop.execute(this::next);
  }

  private void next() {
    due = System.nanoTime() + PERIOD_NANOS;
    loop.schedule(this::tick, PERIOD_NANOS, TimeUnit.NANOSECONDS);
  }

  private void tick() {
    late = Math.max(0, System.nanoTime() - due);
    next();
  }

  /**
   * How long what is read now has waited in its socket, on average; only for the loop's own thread.
   */
  public long meanReadDelayNanos() {
    return lagNanos() / WAIT_PART;
  }

  /** How late the loop's timer is, or last was. */
  public long lagNanos() {
    return Math.max(late, System.nanoTime() - due);
  }
}
