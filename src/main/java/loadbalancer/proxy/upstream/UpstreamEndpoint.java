package loadbalancer.proxy.upstream;

import java.net.InetSocketAddress;
import loadbalancer.config.EndpointList;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;

/**
 * An endpoint with its latest entry in the endpoint list and its connection pool, which is created
 * when it is first used: a proxy never forwards to most endpoints of a large list. Modified by
 * {@link EndpointTable} only. Not thread-safe: used on the event loop only.
 */
public final class UpstreamEndpoint {

  private final UpstreamConnectionPools pools;
  private InetSocketAddress address;
  private EndpointDescriptor descriptor;
  private EndpointStatus status;

  /** The connections to the address; null until first used. */
  private EndpointConnectionPool pool;

  private int attemptsInFlight;

  /**
   * Creates an endpoint without attempts in flight.
   *
   * @param pools creates the endpoint's connection pool
   * @param entry the endpoint's entry in the list
   */
  UpstreamEndpoint(UpstreamConnectionPools pools, EndpointList.Endpoint entry) {
    this.pools = pools;
    address = entry.address();
    descriptor = entry.descriptor();
    status = descriptor.status();
  }

  /** The latest entry in the list. Its status does not show a removal by absence from the list. */
  public EndpointDescriptor descriptor() {
    return descriptor;
  }

  /** The connections to the endpoint's current address; closed if the endpoint is removed. */
  public EndpointConnectionPool pool() {
    if (pool == null) {
      pool = pools.createPool(address);
      if (isRemoved()) {
        pool.close();
      }
    }
    return pool;
  }

  /**
   * Whether the entry is the same as the latest one, and the endpoint was not removed since. Does
   * not use the equals method of the record, whose first call generates code and would hold the
   * event loop for tens of milliseconds.
   */
  boolean hasEntry(EndpointList.Endpoint entry) {
    EndpointDescriptor other = entry.descriptor();
    return status == other.status()
        && descriptor.status() == other.status()
        && descriptor.endpointId() == other.endpointId()
        && descriptor.startedNanos() == other.startedNanos()
        && descriptor.deduplicationCell() == other.deduplicationCell()
        && Double.compare(descriptor.weight(), other.weight()) == 0
        && descriptor.zone().equals(other.zone())
        && address.equals(entry.address());
  }

  /** Whether the endpoint must get no new requests, because it is draining or was removed. */
  public boolean isDraining() {
    return status != EndpointStatus.READY;
  }

  /** Whether the list no longer contains the endpoint, or marks it as removed. */
  boolean isRemoved() {
    return status == EndpointStatus.REMOVED;
  }

  /** Whether any started attempt to the endpoint has not completed. */
  boolean hasAttemptsInFlight() {
    return attemptsInFlight > 0;
  }

  /** Returns a copy of the latest entry with the status of a removed endpoint. */
  EndpointList.Endpoint removalEntry() {
    EndpointDescriptor removed =
        new EndpointDescriptor(
            descriptor.endpointId(),
            descriptor.zone(),
            descriptor.deduplicationCell(),
            EndpointStatus.REMOVED,
            descriptor.startedNanos(),
            descriptor.weight());
    return new EndpointList.Endpoint(address, removed);
  }

  /**
   * Replaces the entry by a new one. The current pool is closed after a change of address or a
   * return to the list.
   */
  void update(EndpointList.Endpoint latest) {
    if (isRemoved() || !address.equals(latest.address())) {
      closePool();
      pool = null;
    }
    address = latest.address();
    descriptor = latest.descriptor();
    status = descriptor.status();
  }

  /**
   * Marks the endpoint as removed and closes its pool: idle connections immediately, the others
   * when their attempts complete.
   */
  void remove() {
    status = EndpointStatus.REMOVED;
    closePool();
  }

  private void closePool() {
    if (pool != null) {
      pool.close();
    }
  }

  /** Adds an attempt to those in flight. */
  void attemptStarted() {
    attemptsInFlight++;
  }

  /** Removes an attempt from those in flight. */
  void attemptCompleted() {
    attemptsInFlight--;
  }
}
