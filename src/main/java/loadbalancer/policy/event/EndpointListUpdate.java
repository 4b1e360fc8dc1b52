package loadbalancer.policy.event;

import java.util.List;

/**
 * An update of the endpoint list, or the failure of its watch. The first update that a policy
 * receives is of kind {@link Kind#CACHED}.
 *
 * @param kind how the entries relate to the current list
 * @param entries the endpoints in the update; empty after a failure
 */
public record EndpointListUpdate(Kind kind, List<EndpointDescriptor> entries) implements Event {

  /** How an update relates to the current list. */
  public enum Kind {
    /** Only the changed entries. */
    DELTA,
    /** The complete list; an endpoint without an entry has been removed. */
    FULL,
    /** The complete list as last known to the balancer, possibly stale. */
    CACHED,
    /** The watch or a fetch of the list failed; the current list stays in use. */
    FAILED
  }
}
