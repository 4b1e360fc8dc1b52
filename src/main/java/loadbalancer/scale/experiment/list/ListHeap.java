package loadbalancer.scale.experiment.list;

import java.util.List;
import loadbalancer.config.EndpointList;
import loadbalancer.config.JsonObjectReader;
import loadbalancer.policy.LoadBalancingPolicy;

/**
 * The heap of the parsed list, the table and the policy. Each is measured alone, with all that it
 * refers to: what two of them share, such as the descriptors of the endpoints, counts in both. The
 * table is measured with a policy that has no endpoints.
 */
final class ListHeap {

  private final MeasuredList list;
  private final HeapMeter meter;
  private final String json;

  /** What a balancer holds while it receives a full list that replaces its present one. */
  private record Receiving(
      ListReceiver receiver, String json, JsonObjectReader object, EndpointList parsed) {}

  /** Creates the measurement of a list. */
  ListHeap(MeasuredList list) {
    this.list = list;
    int instances = Math.max(1, list.settings().heapEntries() / list.size());
    meter = new HeapMeter(instances, list.settings().repetitions());
    json = list.newFleet().fullList().toJson();
  }

  /** Measures the costs. */
  List<Cost> measure() {
    return List.of(
        Cost.heap("heap-parsed-list", meter.medianBytes(this::parsedList, parsed -> {})),
        Cost.heap("heap-table", meter.medianBytes(this::tableOnly, ListReceiver::close)),
        Cost.heap(CostNames.POLICY_HEAP, meter.medianBytes(this::policyOnly, policy -> {})),
        Cost.heap(
            CostNames.KEPT_HEAP, meter.medianBytes(this::tableAndPolicy, ListReceiver::close)),
        Cost.heap(
            CostNames.PEAK_HEAP,
            meter.medianBytes(this::receiving, receiving -> receiving.receiver().close())));
  }

  private EndpointList parsedList() {
    return ListReceiver.parse(json);
  }

  private ListReceiver tableOnly() {
    ListReceiver receiver = list.newReceiver();
    receiver.applyToTable(parsedList());
    return receiver;
  }

  private LoadBalancingPolicy policyOnly() {
    try (ListReceiver receiver = list.newReceiver()) {
      receiver.applyToPolicy(parsedList());
      return receiver.policy();
    }
  }

  private ListReceiver tableAndPolicy() {
    ListReceiver receiver = list.newReceiver();
    receiver.apply(parsedList());
    return receiver;
  }

  private Receiving receiving() {
    // A copy, as each message arrives with a text of its own.
    String received = new String(json.toCharArray());
    JsonObjectReader object = ListReceiver.read(received);
    return new Receiving(tableAndPolicy(), received, object, EndpointList.fromJson(object));
  }
}
