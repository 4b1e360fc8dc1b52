package loadbalancer.policy;

import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;

/**
 * Creates entries of an endpoint list. Unless stated otherwise, an endpoint is in zone a and
 * deduplication cell 0, has weight 1 and started long ago.
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

  /** A ready endpoint that restarted at the given clock reading. */
  static EndpointDescriptor restarted(long endpointId, long startedNanos) {
    return new EndpointDescriptor(endpointId, "a", 0, EndpointStatus.READY, startedNanos, 1);
  }

  static EndpointDescriptor readyIn(String zone, int deduplicationCell, long endpointId) {
    return new EndpointDescriptor(endpointId, zone, deduplicationCell, EndpointStatus.READY, 0, 1);
  }

  /** Ready endpoints with ids from 0, in the zones by turns, each in a cell of its own. */
  static EndpointDescriptor[] spreadOverZones(int count, String... zones) {
    EndpointDescriptor[] endpoints = new EndpointDescriptor[count];
    for (int i = 0; i < count; i++) {
      endpoints[i] = readyIn(zones[i % zones.length], i, i);
    }
    return endpoints;
  }
}
