package loadbalancer.policy;

import java.util.Arrays;

/**
 * Counts and sums over the last window, in slots of a twelfth of its length. A window may keep
 * several times its length, so that a mean can look back where the last window holds too few
 * samples.
 *
 * <p>Reading advances the window to the time of the reading. Times are nanoseconds on one clock
 * that never goes back.
 */
@SuppressWarnings("EnumOrdinal") // A metric is an index: the windows are the hot path.
final class SlidingWindow {

  /** What a window counts. */
  enum Metric {
    /** Requests that arrived. */
    OFFERED,
    /** Requests that were admitted. */
    ADMITTED,
    /** Latencies that were added. */
    SAMPLES,
    /** The sum of the latencies, in the unit of the window's user. */
    LATENCY,
    /** The sum of the latency objectives of the requests that were sampled. */
    OBJECTIVE,
    /** The sum of the time that sampled requests spent queueing in this process. */
    LOCAL_DELAY
  }

  private static final int SLOTS_PER_WINDOW = 12;
  private static final int METRICS = Metric.values().length;

  private final long slotNanos;
  private final int keptSlots;
  private final double[][] slots;
  private final double[] totals = new double[METRICS];
  private long slot;

  /** A window that keeps its length. */
  SlidingWindow(long lengthNanos, long nowNanos) {
    this(lengthNanos, 1, nowNanos);
  }

  /** A window that keeps {@code lookbackWindows} times its length. */
  SlidingWindow(long lengthNanos, int lookbackWindows, long nowNanos) {
    slotNanos = lengthNanos / SLOTS_PER_WINDOW;
    keptSlots = SLOTS_PER_WINDOW * lookbackWindows;
    slots = new double[METRICS][keptSlots];
    slot = nowNanos / slotNanos;
  }

  /** Whether everything that was counted is older than the window keeps. */
  boolean isEmpty(long nowNanos) {
    return nowNanos / slotNanos - slot >= keptSlots;
  }

  /** Adds an amount to a metric. */
  void add(long nowNanos, Metric metric, double amount) {
    totals[metric.ordinal()] = total(nowNanos, metric) + amount;
    slots[metric.ordinal()][(int) (slot % keptSlots)] += amount;
  }

  /** The total of a metric over the last window. */
  double total(long nowNanos, Metric metric) {
    advance(nowNanos);
    return totals[metric.ordinal()];
  }

  /**
   * The total of a metric over the last window, or over as many slots before it as hold {@code
   * minSamples} samples and are still kept.
   */
  double totalWithLookback(long nowNanos, Metric metric, int minSamples) {
    double sum = total(nowNanos, metric);
    double samples = totals[Metric.SAMPLES.ordinal()];
    for (long s = slot - SLOTS_PER_WINDOW;
        samples < minSamples && s > slot - keptSlots && s >= 0;
        s--) {
      int index = (int) (s % keptSlots);
      samples += slots[Metric.SAMPLES.ordinal()][index];
      sum += slots[metric.ordinal()][index];
    }
    return sum;
  }

  /**
   * The mean latency of at least {@code minSamples} samples, as far as they are kept; 0 where there
   * are none, which reads as healthy.
   */
  double mean(long nowNanos, int minSamples) {
    double samples = totalWithLookback(nowNanos, Metric.SAMPLES, minSamples);
    if (samples < 0.5) {
      return 0;
    }
    return totalWithLookback(nowNanos, Metric.LATENCY, minSamples) / samples;
  }

  private void advance(long nowNanos) {
    long current = nowNanos / slotNanos;
    if (isEmpty(nowNanos)) {
      // Slot by slot, the oldest slots would be overwritten before they were subtracted.
      Arrays.fill(totals, 0);
      for (double[] ofMetric : slots) {
        Arrays.fill(ofMetric, 0);
      }
      slot = current;
    }
    for (long s = slot + 1; s <= current; s++) {
      enterSlot(s);
    }
    slot = current;
  }

  private void enterSlot(long entered) {
    int index = (int) (entered % keptSlots);
    for (int m = 0; m < METRICS; m++) {
      if (entered >= SLOTS_PER_WINDOW) {
        totals[m] -= slots[m][(int) ((entered - SLOTS_PER_WINDOW) % keptSlots)];
      }
      slots[m][index] = 0;
    }
  }
}
