package loadbalancer.proxy.downstream;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import loadbalancer.proxy.http.InvalidRequestException;
import loadbalancer.proxy.http.MemoryBudget;
import loadbalancer.proxy.telemetry.EventLog;

/**
 * The heap that the requests of all clients take together, complete and incomplete ones. If it is
 * used up, the incomplete request that has been arriving longest gives way, so that peers that stop
 * inside a request are the first to go. Not thread-safe: for use on the event loop.
 */
final class RequestMemoryPool {

  /** Fraction of the heap available to clients' requests. */
  private static final double HEAP_FRACTION = 0.25;

  private final MemoryBudget budget = MemoryBudget.ofMaxHeap(HEAP_FRACTION);
  private final ConnectionTable connections;

  /** Creates a pool without reservations for the requests on these connections. */
  RequestMemoryPool(ConnectionTable connections) {
    this.connections = connections;
  }

  /** Creates an empty reservation. */
  MemoryBudget.Reservation newReservation() {
    return budget.newReservation();
  }

  /**
   * Changes the size of a reservation, and rejects incomplete requests of other connections as far
   * as that is needed.
   *
   * @param requester the memory of the connection that the reservation belongs to
   * @throws InvalidRequestException with status 503 if the memory is taken by requests in flight
   */
  void resize(RequestMemory requester, MemoryBudget.Reservation reservation, int bytes)
      throws InvalidRequestException {
    while (!reservation.tryResize(bytes)) {
      Optional<ClientConnection> longestReceiving = connections.longestReceiving(requester);
      if (longestReceiving.isEmpty()) {
        throw exhausted();
      }
      longestReceiving.get().rejectInput(exhausted());
    }
  }

  /** A 503 tells the client that its request was not forwarded and may be sent again. */
  private static InvalidRequestException exhausted() {
    EventLog.warnRateLimited("downstream: request rejected reason=request memory exhausted");
    return new InvalidRequestException(
        HttpResponseStatus.SERVICE_UNAVAILABLE.code(), "request memory: exhausted, try again");
  }
}
