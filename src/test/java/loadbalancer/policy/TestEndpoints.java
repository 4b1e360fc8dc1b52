package loadbalancer.policy;

import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;

/**
 * Entries of an endpoint list: of zone a, cell 0 and weight 1, up for long, unless named otherwise.
 */
final class TestEndpoints {

  private TestEndpoints() {}

  static EndpointDescriptor ready(long endpointId) {
    return restarted(endpointId, 0);
  }

  static EndpointDescriptor draining(long endpointId) {
    return new EndpointDescriptor(endpointId, "a", 0, EndpointStatus.DRAINING, 0, 1);
  }

  static EndpointDescriptor removed(long endpointId) {
    return new EndpointDescriptor(endpointId, "a", 0, EndpointStatus.REMOVED, 0, 1);
  }

  /** A ready endpoint that started at this clock reading and is warming up. */
  static EndpointDescriptor restarted(long endpointId, long startedNanos) {
    return new EndpointDescriptor(endpointId, "a", 0, EndpointStatus.READY, startedNanos, 1);
  }

  static EndpointDescriptor readyIn(String zone, int deduplicationCell, long endpointId) {
    return new EndpointDescriptor(endpointId, zone, deduplicationCell, EndpointStatus.READY, 0, 1);
  }

  /** Ready endpoints with the ids 0, 1, 2 ..., one of each zone in turn, each a cell of its own. */
  static EndpointDescriptor[] spreadOverZones(int count, String... zones) {
    EndpointDescriptor[] endpoints = new EndpointDescriptor[count];
    for (int i = 0; i < count; i++) {
      endpoints[i] = readyIn(zones[i % zones.length], i, i);
    }
    return endpoints;
  }
}
