package loadbalancer.policy.event;

import java.util.List;

/**
 * A watch event of the endpoint list. The first update of an instance is of kind {@link
 * Kind#CACHED}.
 *
 * @param kind how the entries are to be applied
 * @param entries the endpoints that the update names; empty after a failure
 */
public record EndpointListUpdate(Kind kind, List<EndpointDescriptor> entries) implements Event {

  /** How an update relates to the list held so far. */
  public enum Kind {
    /** Changed entries only. */
    DELTA,
    /** The complete list; an endpoint that it does not name has been removed. */
    FULL,
    /** The complete list as the balancer last held it, possibly stale. */
    CACHED,
    /** The watch or the fetch failed; the list stays as it was. */
    FAILED
  }
}
