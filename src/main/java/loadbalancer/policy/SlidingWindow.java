package loadbalancer.policy;

import java.util.Arrays;

/**
 * Totals of several metrics over a sliding window, kept in slots of one twelfth of the window's
 * length. A window may retain several times its length, so that a mean can look back when the last
 * window holds too few samples.
 *
 * <p>Reads also advance the window to the given time. Times are nanoseconds on one monotonic clock.
 * Not thread-safe.
 */
@SuppressWarnings("EnumOrdinal") // Metrics index arrays, as the windows are on the hot path.
final class SlidingWindow {

  /** The metrics that a window totals. */
  enum Metric {
    /** Requests that arrived. */
    OFFERED,
    /** Requests that were admitted. */
    ADMITTED,
    /** The number of latency samples. */
    SAMPLES,
    /** The sum of the latencies, in the unit that the caller uses. */
    LATENCY,
    /** The sum of the sampled requests' latency objectives, in the unit that the caller uses. */
    OBJECTIVE,
    /**
     * The sum of the sampled attempts' local delays, as {@link ResponseStatistics} defines them.
     */
    LOCAL_DELAY
  }

  private static final int SLOTS_PER_WINDOW = 12;
  private static final int METRICS = Metric.values().length;

  private final long slotNanos;

  /** The number of slots in the last window and the lookback. */
  private final int keptSlots;

  /**
   * The totals of each slot, by metric; slot {@code s} is at index {@code s % keptSlots}. The slots
   * of a metric are null until an amount is added to it, since most windows use a few metrics.
   */
  private final double[][] slots = new double[METRICS][];

  /** The totals over the last window, without the lookback. */
  private final double[] totals = new double[METRICS];

  /** The number of the latest slot, counted from clock reading 0. */
  private long currentSlot;

  /** Creates an empty window without lookback. */
  SlidingWindow(long lengthNanos, long nowNanos) {
    this(lengthNanos, 1, nowNanos);
  }

  /**
   * Creates an empty window that retains {@code lookbackWindows} times its length.
   *
   * @param lengthNanos the window's length, at least 12 ns
   * @param nowNanos the present clock reading
   */
  SlidingWindow(long lengthNanos, int lookbackWindows, long nowNanos) {
    slotNanos = lengthNanos / SLOTS_PER_WINDOW;
    keptSlots = SLOTS_PER_WINDOW * lookbackWindows;
    currentSlot = nowNanos / slotNanos;
  }

  /** Whether everything that was added is too old to be retained. */
  boolean isEmpty(long nowNanos) {
    return nowNanos / slotNanos - currentSlot >= keptSlots;
  }

  /** Adds an amount to a metric at {@code nowNanos}. */
  void add(long nowNanos, Metric metric, double amount) {
    totals[metric.ordinal()] = total(nowNanos, metric) + amount;
    if (slots[metric.ordinal()] == null) {
      slots[metric.ordinal()] = new double[keptSlots];
    }
    slots[metric.ordinal()][(int) (currentSlot % keptSlots)] += amount;
  }

  /** The total of a metric over the last window. */
  double total(long nowNanos, Metric metric) {
    advance(nowNanos);
    return totals[metric.ordinal()];
  }

  /**
   * The total of a metric over the last window. If it holds fewer than {@code minSamples} samples,
   * the retained slots before it are included, newest first, until there are as many.
   */
  double totalWithLookback(long nowNanos, Metric metric, int minSamples) {
    double sum = total(nowNanos, metric);
    double samples = totals[Metric.SAMPLES.ordinal()];
    for (long s = currentSlot - SLOTS_PER_WINDOW;
        samples < minSamples && s > currentSlot - keptSlots && s >= 0;
        s--) {
      int index = (int) (s % keptSlots);
      samples += amountIn(index, Metric.SAMPLES);
      sum += amountIn(index, metric);
    }
    return sum;
  }

  private double amountIn(int slotIndex, Metric metric) {
    double[] metricSlots = slots[metric.ordinal()];
    return metricSlots == null ? 0 : metricSlots[slotIndex];
  }

  /**
   * The mean latency of at least {@code minSamples} samples, as far as they are retained. It is 0
   * without samples, which counts as healthy.
   */
  double mean(long nowNanos, int minSamples) {
    double samples = totalWithLookback(nowNanos, Metric.SAMPLES, minSamples);
    if (samples < 0.5) {
      return 0;
    }
    return totalWithLookback(nowNanos, Metric.LATENCY, minSamples) / samples;
  }

  private void advance(long nowNanos) {
    long newSlot = nowNanos / slotNanos;
    if (isEmpty(nowNanos)) {
      // Advancing by single slots would overwrite the oldest ones before they are subtracted.
      Arrays.fill(totals, 0);
      for (double[] metricSlots : slots) {
        if (metricSlots != null) {
          Arrays.fill(metricSlots, 0);
        }
      }
      currentSlot = newSlot;
    }
    for (long s = currentSlot + 1; s <= newSlot; s++) {
      startSlot(s);
    }
    currentSlot = newSlot;
  }

  private void startSlot(long started) {
    int index = (int) (started % keptSlots);
    for (int m = 0; m < METRICS; m++) {
      if (slots[m] == null) {
        continue;
      }
      if (started >= SLOTS_PER_WINDOW) {
        totals[m] -= slots[m][(int) ((started - SLOTS_PER_WINDOW) % keptSlots)];
      }
      slots[m][index] = 0;
    }
  }
}
