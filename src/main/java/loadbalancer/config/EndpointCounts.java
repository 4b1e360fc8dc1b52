package loadbalancer.config;

import java.util.List;
import loadbalancer.policy.event.EndpointStatus;

/**
 * The number of entries of each status in an endpoint list.
 *
 * @param ready entries in service
 * @param draining entries that accept no new requests
 * @param removed entries that are no longer in service
 */
public record EndpointCounts(int ready, int draining, int removed) {

  /** The counts of a list without entries. */
  static final EndpointCounts NONE = new EndpointCounts(0, 0, 0);

  /** Counts these entries. */
  static EndpointCounts of(List<EndpointList.Endpoint> entries) {
    EndpointCounts counts = NONE;
    for (EndpointList.Endpoint entry : entries) {
      counts = counts.plus(entry.descriptor().status());
    }
    return counts;
  }

  /** Returns the counts with one more entry of this status. */
  EndpointCounts plus(EndpointStatus status) {
    return switch (status) {
      case READY -> new EndpointCounts(ready + 1, draining, removed);
      case DRAINING -> new EndpointCounts(ready, draining + 1, removed);
      case REMOVED -> new EndpointCounts(ready, draining, removed + 1);
    };
  }

  /** Formats the counts as key=value pairs for a log line. */
  String summary() {
    return "ready=" + ready + " draining=" + draining + " removed=" + removed;
  }
}
