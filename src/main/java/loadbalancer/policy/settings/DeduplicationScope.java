package loadbalancer.policy.settings;

import loadbalancer.policy.event.EndpointDescriptor;

/** The endpoints that drop a repeat of a request with an idempotency key. */
public enum DeduplicationScope {
  /** All endpoints. */
  ALL,
  /** The endpoints of one zone. */
  ZONE,
  /** The endpoints of one deduplication cell. */
  CELL;

  /** Whether the two endpoints drop each other's repeats. */
  public boolean covers(EndpointDescriptor one, EndpointDescriptor other) {
    return switch (this) {
      case ALL -> true;
      case ZONE -> one.zone().equals(other.zone());
      case CELL -> one.deduplicationCell() == other.deduplicationCell();
    };
  }
}
