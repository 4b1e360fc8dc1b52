package loadbalancer.scale.experiment.list;

import java.util.List;
import loadbalancer.config.EndpointList;

/** The time to place one request, and to handle a timer of the policy. */
final class PlacementTimes {

  private static final double P50 = 50;
  private static final double P99 = 99;

  /** The fraction of the measured requests that are sent before, as a divisor. */
  private static final int WARM_UP_DIVISOR = 10;

  private final MeasuredList list;

  /** Creates the measurement of a list. */
  PlacementTimes(MeasuredList list) {
    this.list = list;
  }

  /** Measures the costs. */
  List<Cost> measure() {
    int requests = list.settings().requests();
    try (ListReceiver receiver = list.newReceiver()) {
      EndpointList fullList = ListReceiver.parse(list.newFleet().fullList().toJson());
      receiver.apply(fullList);
      RequestPlacement placement =
          new RequestPlacement(receiver.policy(), ListReceiver.arrivalNanos(fullList), list.seed());
      placement.run(requests / WARM_UP_DIVISOR, requests);
      return List.of(
          Cost.percentile("placement-p50", placement.placementNanos(), P50),
          Cost.percentile(CostNames.PLACEMENT_P99, placement.placementNanos(), P99),
          Cost.percentile(CostNames.TIMER_P99, placement.timerNanos(), P99),
          Cost.count(CostNames.CHOSEN_ENDPOINTS, placement.chosenEndpointCount(), "endpoints"),
          Cost.count("forwarded-attempts", placement.forwardedAttempts(), "attempts"));
    }
  }
}
