package loadbalancer.proxy.telemetry;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Measures how far the event loop is behind, from the delay of a periodic timer. While the loop is
 * behind, received bytes wait unread in their sockets. Attempt latencies are reduced by this wait,
 * since a balancer short of CPU would otherwise measure all its endpoints as slow. The measure also
 * covers pauses of the whole process, such as garbage collection. It underestimates an endpoint's
 * latency by at most half of the lag, where the endpoint is slow while the loop is behind.
 *
 * <p>Belongs to the event loop: apart from the constructor, to be called on its thread only.
 */
public final class EventLoopLag {

  /** Short against any latency objective, at the cost of a hundred timers a second. */
  private static final long SAMPLE_PERIOD_NANOS = 10_000_000L;

  /**
   * Bytes arrive evenly spread over the time since the sockets were last polled, so they have
   * waited for half of it on average.
   */
  private static final int LAG_PER_MEAN_DELAY = 2;

  private final EventLoop loop;
  private long nextSampleNanos;
  private long lastLagNanos;

  /** Starts measuring this loop; may be called on any thread. */
  public EventLoopLag(EventLoop loop) {
    this.loop = loop;
    loop.execute(this::scheduleSample);
  }

  private void scheduleSample() {
    nextSampleNanos = System.nanoTime() + SAMPLE_PERIOD_NANOS;
    loop.schedule(this::sample, SAMPLE_PERIOD_NANOS, TimeUnit.NANOSECONDS);
  }

  private void sample() {
    lastLagNanos = Math.max(0, System.nanoTime() - nextSampleNanos);
    scheduleSample();
  }

  /** Mean time in nanoseconds for which bytes read now have waited in their socket. */
  public long meanReadDelayNanos() {
    return lagNanos() / LAG_PER_MEAN_DELAY;
  }

  /** The lag in nanoseconds: that of the last sample, or of the next one where it is overdue. */
  public long lagNanos() {
    return Math.max(lastLagNanos, System.nanoTime() - nextSampleNanos);
  }
}
