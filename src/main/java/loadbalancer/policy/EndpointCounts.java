package loadbalancer.policy;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.settings.PolicySettings;

/**
 * The numbers of ready endpoints, of local ones among them, and of the zones that they are in.
 * {@link EndpointRegistry} adds and removes the entries of the endpoint list, each in O(1).
 */
final class EndpointCounts {
  private final PolicySettings settings;
  private final Map<String, Integer> readyByZone = new HashMap<>();
  private int ready;
  private int local;

  /** Creates the counts of an empty list. */
  EndpointCounts(PolicySettings settings) {
    this.settings = settings;
  }

  /** Whether the endpoint is in this balancer's zone, or cross-zone traffic costs nothing. */
  boolean isLocal(EndpointDescriptor descriptor) {
    return settings.costs().crossZone() == 0 || descriptor.zone().equals(settings.zone());
  }

  /** Counts an endpoint, if it is ready. */
  void add(EndpointDescriptor descriptor) {
    if (descriptor.status() == EndpointStatus.READY) {
      ready++;
      local += isLocal(descriptor) ? 1 : 0;
      readyByZone.merge(descriptor.zone(), 1, Integer::sum);
    }
  }

  /** Reverts {@link #add} for an equal descriptor. */
  void remove(EndpointDescriptor descriptor) {
    if (descriptor.status() == EndpointStatus.READY) {
      ready--;
      local -= isLocal(descriptor) ? 1 : 0;
      readyByZone.computeIfPresent(descriptor.zone(), (z, count) -> count == 1 ? null : count - 1);
    }
  }

  /** The number of ready endpoints. */
  int ready() {
    return ready;
  }

  /** The number of ready endpoints that are local. */
  int local() {
    return local;
  }

  /** The number of zones with a ready endpoint. */
  int zones() {
    return readyByZone.size();
  }
}
