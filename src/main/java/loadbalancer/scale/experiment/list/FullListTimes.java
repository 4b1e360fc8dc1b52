package loadbalancer.scale.experiment.list;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.config.EndpointList;
import org.apache.commons.math3.stat.StatUtils;

/** The bytes of the full list, and the times to parse it and to give it to table and policy. */
final class FullListTimes {

  private static final double MEDIAN_PERCENTILE = 50;

  private final MeasuredList list;
  private final Map<String, List<Long>> nanosByName = new LinkedHashMap<>();

  /** Creates the measurement of a list. */
  FullListTimes(MeasuredList list) {
    this.list = list;
  }

  /** Measures the costs; the first repetition only warms up. */
  List<Cost> measure() {
    String json = list.newFleet().fullList().toJson();
    repeatOnce(json);
    nanosByName.clear();
    for (int i = 0; i < list.settings().repetitions(); i++) {
      repeatOnce(json);
    }
    List<Cost> costs = new ArrayList<>();
    costs.add(Cost.wireBytes(CostNames.FULL_LIST_BYTES, ListMessage.wireBytes(json)));
    nanosByName.forEach((name, nanos) -> costs.add(Cost.time(name, median(nanos))));
    return costs;
  }

  private void repeatOnce(String json) {
    try (ListReceiver receiver = list.newReceiver()) {
      long startNanos = System.nanoTime();
      EndpointList parsed = ListReceiver.parse(json);
      long parsedNanos = System.nanoTime();
      receiver.applyToTable(parsed);
      long tableNanos = System.nanoTime();
      receiver.applyToPolicy(parsed);
      long policyNanos = System.nanoTime();
      record("full-list-parse", parsedNanos - startNanos);
      record("full-list-table", tableNanos - parsedNanos);
      record("full-list-policy", policyNanos - tableNanos);
      record(CostNames.FULL_LIST_TOTAL, policyNanos - startNanos);
      EndpointList sameList = ListReceiver.parse(json);
      record("same-list-table", Stopwatch.nanos(() -> receiver.applyToTable(sameList)));
      record("same-list-policy", Stopwatch.nanos(() -> receiver.applyToPolicy(sameList)));
    }
  }

  private void record(String name, long nanos) {
    nanosByName.computeIfAbsent(name, key -> new ArrayList<>()).add(nanos);
  }

  private static double median(List<Long> nanos) {
    return StatUtils.percentile(
        nanos.stream().mapToDouble(Long::doubleValue).toArray(), MEDIAN_PERCENTILE);
  }
}
