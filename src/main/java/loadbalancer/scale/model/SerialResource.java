package loadbalancer.scale.model;

import java.util.Arrays;

/** A core or a network link that handles one message after the other. */
final class SerialResource {

  private long freeAtNanos;
  private long busyNanos;
  private long[] busyNanosBySecond = new long[64];

  /**
   * Adds work behind all earlier work.
   *
   * @param earliestNanos when the work can start at the earliest
   * @param workNanos how long it takes
   * @return when the work ends
   */
  long use(long earliestNanos, long workNanos) {
    long startNanos = Math.max(earliestNanos, freeAtNanos);
    freeAtNanos = startNanos + workNanos;
    busyNanos += workNanos;
    addBySecond(startNanos, freeAtNanos);
    return freeAtNanos;
  }

  /** Drops the work that has not been done. */
  void reset(long nowNanos) {
    freeAtNanos = Math.min(freeAtNanos, nowNanos);
  }

  /** The time that all work took. */
  long busyNanos() {
    return busyNanos;
  }

  /** The largest busy share of a second. */
  double worstSecondShare() {
    long worstNanos = Arrays.stream(busyNanosBySecond).max().orElse(0);
    return (double) worstNanos / Durations.NANOS_PER_SECOND;
  }

  private void addBySecond(long startNanos, long endNanos) {
    long fromNanos = startNanos;
    while (fromNanos < endNanos) {
      int second = (int) (fromNanos / Durations.NANOS_PER_SECOND);
      long toNanos = Math.min(endNanos, (second + 1) * Durations.NANOS_PER_SECOND);
      if (second >= busyNanosBySecond.length) {
        busyNanosBySecond = Arrays.copyOf(busyNanosBySecond, 2 * second);
      }
      busyNanosBySecond[second] += toNanos - fromNanos;
      fromNanos = toNanos;
    }
  }
}
