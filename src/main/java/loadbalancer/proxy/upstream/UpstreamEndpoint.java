package loadbalancer.proxy.upstream;

import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;

/**
 * An endpoint with its latest entry in the endpoint list and its connection pool. Modified by
 * {@link EndpointTable} only. Not thread-safe: used on the event loop only.
 */
public final class UpstreamEndpoint {

  private EndpointDescriptor descriptor;
  private EndpointStatus status;
  private EndpointConnectionPool pool;
  private int attemptsInFlight;

  /**
   * Creates an endpoint without attempts in flight.
   *
   * @param descriptor the endpoint's entry in the list
   * @param pool the connections to the endpoint's address
   */
  UpstreamEndpoint(EndpointDescriptor descriptor, EndpointConnectionPool pool) {
    this.descriptor = descriptor;
    this.status = descriptor.status();
    this.pool = pool;
  }

  /** The latest entry in the list. Its status does not show a removal by absence from the list. */
  public EndpointDescriptor descriptor() {
    return descriptor;
  }

  /** The connections to the endpoint's current address. */
  public EndpointConnectionPool pool() {
    return pool;
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

  /** Replaces the descriptor and the status by those of a new entry in the list. */
  void updateDescriptor(EndpointDescriptor latest) {
    descriptor = latest;
    status = latest.status();
  }

  /**
   * Marks the endpoint as removed and closes its pool: idle connections immediately, the others
   * when their attempts complete.
   */
  void remove() {
    status = EndpointStatus.REMOVED;
    pool.close();
  }

  /**
   * Closes the current pool and uses a new one, after a change of address or a return to the list.
   */
  void replacePool(EndpointConnectionPool newPool) {
    pool.close();
    pool = newPool;
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
