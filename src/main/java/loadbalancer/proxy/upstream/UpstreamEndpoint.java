package loadbalancer.proxy.upstream;

import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;

/**
 * An upstream as the endpoint list last described it, with its connection pool. Changed by {@link
 * EndpointTable} only; its state belongs to the event loop.
 */
public final class UpstreamEndpoint {

  private EndpointDescriptor descriptor;
  private EndpointStatus status;
  private EndpointConnectionPool pool;
  private int attemptsInFlight;

  /**
   * Makes an endpoint without attempts in flight.
   *
   * @param descriptor the endpoint as the list describes it
   * @param pool the connections to the endpoint's address
   */
  UpstreamEndpoint(EndpointDescriptor descriptor, EndpointConnectionPool pool) {
    this.descriptor = descriptor;
    this.status = descriptor.status();
    this.pool = pool;
  }

  /** The endpoint as the list last described it, which says nothing of a removal by absence. */
  public EndpointDescriptor descriptor() {
    return descriptor;
  }

  /** The connections to the endpoint's present address. */
  public EndpointConnectionPool pool() {
    return pool;
  }

  /** Whether the endpoint is to get nothing new: it is draining or has been removed. */
  public boolean isDraining() {
    return status != EndpointStatus.READY;
  }

  /** Whether the list no longer names the endpoint, or names it as removed. */
  boolean isRemoved() {
    return status == EndpointStatus.REMOVED;
  }

  /** Whether any attempt to the endpoint has not completed. */
  boolean hasAttemptsInFlight() {
    return attemptsInFlight > 0;
  }

  /** Records what the list says of the endpoint now. */
  void describe(EndpointDescriptor latest) {
    descriptor = latest;
    status = latest.status();
  }

  /** Also closes the connections: idle ones now, the others once their attempts complete. */
  void remove() {
    status = EndpointStatus.REMOVED;
    pool.close();
  }

  /** Closes the present pool and uses another one, for another address. */
  void replacePool(EndpointConnectionPool next) {
    pool.close();
    pool = next;
  }

  /** Counts an attempt as in flight. */
  void attemptStarted() {
    attemptsInFlight++;
  }

  /** Counts an attempt as no longer in flight. */
  void attemptCompleted() {
    attemptsInFlight--;
  }
}
