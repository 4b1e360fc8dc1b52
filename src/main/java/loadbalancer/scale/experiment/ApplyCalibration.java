package loadbalancer.scale.experiment;

import java.util.Arrays;
import loadbalancer.scale.model.ApplyProbe;
import loadbalancer.scale.model.Durations;

/**
 * Measures how long a balancer takes to parse and apply messages, on the program's own code with a
 * list of the fleet's size.
 *
 * @param messageMicros the time for a message with one changed entry
 * @param entryMicros the time for each further entry of a message with many
 * @param fullListMillis the time for a full list
 * @param fullListBytes the size of a full list
 */
record ApplyCalibration(
    double messageMicros, double entryMicros, double fullListMillis, long fullListBytes) {

  private static final int REPETITIONS = 5;
  private static final int BURST_ENTRIES = 2_400;

  /** Measures with a list of this size; takes the median of several repetitions. */
  static ApplyCalibration measure(int listEntries, long seed) {
    ApplyProbe probe = new ApplyProbe(listEntries, seed);
    int burstEntries = Math.min(BURST_ENTRIES, listEntries);
    long[] single = new long[REPETITIONS];
    long[] burst = new long[REPETITIONS];
    long[] full = new long[REPETITIONS];
    for (int i = 0; i < REPETITIONS; i++) {
      single[i] = probe.applyChangesNanos(1);
      burst[i] = probe.applyChangesNanos(burstEntries);
      full[i] = probe.applyFullListNanos();
    }
    double singleNanos = median(single);
    double perEntryNanos = (median(burst) - singleNanos) / Math.max(1, burstEntries - 1);
    return new ApplyCalibration(
        singleNanos / Durations.NANOS_PER_MICRO,
        Math.max(0, perEntryNanos) / Durations.NANOS_PER_MICRO,
        median(full) / Durations.NANOS_PER_MILLI,
        probe.fullListBytes());
  }

  private static double median(long[] values) {
    Arrays.sort(values);
    return values[values.length / 2];
  }
}
