package loadbalancer.proxy.downstream;

import java.util.Optional;
import loadbalancer.proxy.http.MemoryBudget;
import loadbalancer.proxy.telemetry.EventLog;

/**
 * The heap that responses take together while their clients do not read them. If it is used up, the
 * connection whose responses have been waiting longest is closed. Not thread-safe: for use on the
 * event loop.
 */
final class ResponseMemoryPool {

  /** Fraction of the heap available to responses that wait for their clients. */
  private static final double HEAP_FRACTION = 0.125;

  private final MemoryBudget budget;
  private final ConnectionTable connections;

  /** Creates a pool without reservations for the responses on these connections. */
  ResponseMemoryPool(ConnectionTable connections) {
    this(connections, MemoryBudget.ofMaxHeap(HEAP_FRACTION));
  }

  /** Creates a pool of another size. */
  ResponseMemoryPool(ConnectionTable connections, MemoryBudget budget) {
    this.connections = connections;
    this.budget = budget;
  }

  /** Creates an empty reservation. */
  MemoryBudget.Reservation newReservation() {
    return budget.newReservation();
  }

  /** Adds to a reservation; returns false if no memory is left and no connection can be closed. */
  boolean add(MemoryBudget.Reservation reservation, int bytes) {
    while (!reservation.tryResize(reservation.bytes() + bytes)) {
      Optional<ClientConnection> longestPending = connections.longestPending();
      if (longestPending.isEmpty()) {
        return false;
      }
      EventLog.warnRateLimited("downstream: connection closed reason=response memory exhausted");
      longestPending.get().writer().abort();
    }
    return true;
  }
}
