package loadbalancer.proxy.downstream;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Map;
import loadbalancer.proxy.http.InvalidRequestException;
import loadbalancer.proxy.http.MemoryBudget;

/**
 * The memory reserved for the request that one connection is receiving, from its first byte until
 * it is submitted or ends otherwise. Not thread-safe: for use on the event loop.
 */
final class RequestMemory {

  /**
   * The most heap that a head takes while it is decoded: its text and the decoder's line buffer, at
   * most 8 KiB each, the request line, at most 4 KiB, and the objects of the retained fields.
   */
  static final int MAX_HEAD_BYTES = 24 << 10;

  /** The heap of a request's objects besides its texts and its body, rounded up. */
  private static final int REQUEST_OBJECT_BYTES = 512;

  /** The heap of one header field's objects besides its texts, rounded up. */
  private static final int FIELD_OBJECT_BYTES = 160;

  private final RequestMemoryPool pool;
  private MemoryBudget.Reservation reservation;

  /** Creates an empty reservation of a pool. */
  RequestMemory(RequestMemoryPool pool) {
    this.pool = pool;
    reservation = pool.newReservation();
  }

  /** Returns the heap that a decoded head takes, rounded up. */
  static int headBytes(HttpRequest head) {
    int bytes = REQUEST_OBJECT_BYTES + head.uri().length();
    for (Map.Entry<String, String> field : head.headers()) {
      bytes += FIELD_OBJECT_BYTES + field.getKey().length() + field.getValue().length();
    }
    return bytes;
  }

  /** Returns whether any memory is reserved. */
  boolean isReserved() {
    return reservation.bytes() > 0;
  }

  /**
   * Changes the size of the reservation.
   *
   * @throws InvalidRequestException with status 503 if no memory is left
   */
  void resize(int bytes) throws InvalidRequestException {
    pool.resize(this, reservation, bytes);
  }

  /** Returns the reservation, which the caller has to release, and starts a new, empty one. */
  MemoryBudget.Reservation handOver() {
    MemoryBudget.Reservation handedOver = reservation;
    reservation = pool.newReservation();
    return handedOver;
  }

  /** Returns the reserved memory to the budget. */
  void release() {
    reservation.release();
  }
}
