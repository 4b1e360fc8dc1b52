package loadbalancer.proxy.telemetry;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Measures the lag of the event loop as the delay of a periodic timer. Pauses of the whole process,
 * such as garbage collection, are included.
 *
 * <p>While the loop lags, received bytes wait unread in their sockets. The mean of this wait is
 * subtracted from attempt latencies; otherwise a proxy short of CPU would measure all endpoints as
 * slow. If an endpoint is slow while the loop lags, its latency is underestimated by at most half
 * of the lag.
 *
 * <p>Must be used on the event loop only, except for the constructor.
 */
public final class EventLoopLag {

  /** Short compared with any latency objective, at the cost of 100 timers per second. */
  private static final long SAMPLE_PERIOD_NANOS = 10_000_000L;

  /**
   * Ratio of the lag to the mean time that bytes wait in a socket. Bytes arrive evenly distributed
   * between two polls of the sockets, so that they wait for half of this interval on average.
   */
  private static final int LAG_TO_MEAN_DELAY_RATIO = 2;

  private final EventLoop loop;
  private long nextSampleDueNanos;
  private long lastLagNanos;

  /** Starts measuring the lag of an event loop. May be called on any thread. */
  public EventLoopLag(EventLoop loop) {
    this.loop = loop;
    loop.execute(this::scheduleSample);
  }

  private void scheduleSample() {
    nextSampleDueNanos = System.nanoTime() + SAMPLE_PERIOD_NANOS;
    loop.schedule(this::takeSample, SAMPLE_PERIOD_NANOS, TimeUnit.NANOSECONDS);
  }

  private void takeSample() {
    lastLagNanos = Math.max(0, System.nanoTime() - nextSampleDueNanos);
    scheduleSample();
  }

  /** Mean time in nanoseconds that bytes read now have waited in their socket. */
  public long meanReadDelayNanos() {
    return lagNanos() / LAG_TO_MEAN_DELAY_RATIO;
  }

  /** The current lag in nanoseconds: the last sample, or the delay of the next one if larger. */
  public long lagNanos() {
    return Math.max(lastLagNanos, System.nanoTime() - nextSampleDueNanos);
  }
}
