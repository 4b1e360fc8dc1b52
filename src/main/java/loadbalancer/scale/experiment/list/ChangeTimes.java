package loadbalancer.scale.experiment.list;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.config.EndpointList;
import org.HdrHistogram.Histogram;
import org.apache.commons.math3.stat.StatUtils;

/** The bytes and times of changes, of one entry each and of a burst of entries. */
final class ChangeTimes {

  private static final int HISTOGRAM_DIGITS = 3;
  private static final double P50 = 50;
  private static final double P99 = 99;
  private static final double MAX = 100;

  private final MeasuredList list;

  /** Creates the measurement of a list. */
  ChangeTimes(MeasuredList list) {
    this.list = list;
  }

  /** Measures changes of one entry; the first one only warms up. */
  List<Cost> measureSingleChanges() {
    EndpointFleet fleet = list.newFleet();
    Histogram totalNanos = new Histogram(HISTOGRAM_DIGITS);
    Histogram policyNanos = new Histogram(HISTOGRAM_DIGITS);
    int changes = list.settings().changes();
    double[] bytes = new double[changes];
    try (ListReceiver receiver = list.newReceiver()) {
      receiver.apply(ListReceiver.parse(fleet.fullList().toJson()));
      receiver.apply(ListReceiver.parse(fleet.change(1).toJson()));
      for (int i = 0; i < changes; i++) {
        String json = fleet.change(1).toJson();
        bytes[i] = ListMessage.wireBytes(json);
        long startNanos = System.nanoTime();
        EndpointList change = ListReceiver.parse(json);
        receiver.applyToTable(change);
        long tableNanos = System.nanoTime();
        receiver.applyToPolicy(change);
        long endNanos = System.nanoTime();
        totalNanos.recordValue(endNanos - startNanos);
        policyNanos.recordValue(endNanos - tableNanos);
      }
    }
    return List.of(
        Cost.wireBytes(CostNames.CHANGE_BYTES, StatUtils.mean(bytes)),
        Cost.percentile("change-p50", totalNanos, P50),
        Cost.percentile(CostNames.CHANGE_P99, totalNanos, P99),
        Cost.percentile(CostNames.CHANGE_MAX, totalNanos, MAX),
        Cost.percentile("change-policy-p50", policyNanos, P50));
  }

  /**
   * Measures a burst, given to one receiver as one update and to another one in slices. Empty if
   * the list is smaller than the burst.
   */
  List<Cost> measureBurst() {
    int burst = list.settings().burst();
    if (list.size() < burst) {
      return List.of();
    }
    EndpointFleet fleet = list.newFleet();
    int repetitions = list.settings().repetitions();
    double[] oneUpdateNanos = new double[repetitions];
    double[] longestSliceNanos = new double[repetitions];
    double[] allSlicesNanos = new double[repetitions];
    double[] bytes = new double[repetitions];
    try (ListReceiver receiver = list.newReceiver();
        ListReceiver slicedReceiver = list.newReceiver()) {
      EndpointList fullList = ListReceiver.parse(fleet.fullList().toJson());
      receiver.apply(fullList);
      slicedReceiver.apply(fullList);
      for (int i = 0; i < repetitions; i++) {
        String json = fleet.change(burst).toJson();
        bytes[i] = ListMessage.wireBytes(json);
        EndpointList change = ListReceiver.parse(json);
        oneUpdateNanos[i] = Stopwatch.nanos(() -> receiver.apply(change));
        for (EndpointList slice : slices(change)) {
          long sliceNanos = Stopwatch.nanos(() -> slicedReceiver.apply(slice));
          longestSliceNanos[i] = Math.max(longestSliceNanos[i], (double) sliceNanos);
          allSlicesNanos[i] += sliceNanos;
        }
      }
    }
    return List.of(
        Cost.wireBytes("burst-bytes", StatUtils.mean(bytes)),
        Cost.time(CostNames.BURST_ONE_UPDATE, StatUtils.percentile(oneUpdateNanos, P50)),
        Cost.time(CostNames.BURST_LONGEST_SLICE, StatUtils.percentile(longestSliceNanos, P50)),
        Cost.time("burst-all-slices", StatUtils.percentile(allSlicesNanos, P50)));
  }

  private List<EndpointList> slices(EndpointList change) {
    int slice = list.settings().slice();
    List<EndpointList.Endpoint> entries = change.endpoints();
    List<EndpointList> slices = new ArrayList<>();
    for (int start = 0; start < entries.size(); start += slice) {
      int end = Math.min(entries.size(), start + slice);
      slices.add(new EndpointList(change.version(), false, entries.subList(start, end)));
    }
    return slices;
  }
}
