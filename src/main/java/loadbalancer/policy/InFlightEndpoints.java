package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/** The endpoints that have attempts of this balancer in flight, in no particular order. */
final class InFlightEndpoints {
  private final List<Endpoint> endpoints = new ArrayList<>();

  /** Adds an endpoint that gets its first attempt in flight, in O(1). */
  void add(Endpoint endpoint) {
    endpoint.inFlightIndex = endpoints.size();
    endpoints.add(endpoint);
  }

  /** Removes an endpoint that was added and has no attempt in flight any more, in O(1). */
  void remove(Endpoint endpoint) {
    Endpoint last = endpoints.remove(endpoints.size() - 1);
    if (last != endpoint) {
      endpoints.set(endpoint.inFlightIndex, last);
      last.inFlightIndex = endpoint.inFlightIndex;
    }
  }

  /** A view of the endpoints. */
  List<Endpoint> asList() {
    return Collections.unmodifiableList(endpoints);
  }

  /**
   * The load in flight at the ready endpoints among them. It is summed in the order of their ids,
   * so that the rounding does not depend on the order of the attempts. Takes O(n log n) for n
   * endpoints with attempts in flight.
   */
  double readyLoad() {
    return endpoints.stream()
        .filter(Endpoint::isReady)
        .sorted(Comparator.comparingLong(endpoint -> endpoint.id))
        .mapToDouble(Endpoint::load)
        .sum();
  }
}
