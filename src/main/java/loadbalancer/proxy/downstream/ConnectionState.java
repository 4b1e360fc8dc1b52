package loadbalancer.proxy.downstream;

/** What a client connection is doing, and what becomes of its further input. */
enum ConnectionState {
  /** No complete request waits for its response: input is the next request. */
  AWAITING_REQUEST,

  /** A request is in flight and no other input has followed it. */
  IN_FLIGHT,

  /** A request is in flight; input behind it is discarded, and its response is the last one. */
  IN_FLIGHT_DISCARDING,

  /** No request is in flight or will be read any more: the connection closes after its writes. */
  CLOSING;

  /** Whether a complete request waits for its response. */
  boolean hasRequestInFlight() {
    return this == IN_FLIGHT || this == IN_FLIGHT_DISCARDING;
  }

  /** Whether further input is discarded unparsed. */
  boolean isDiscardingInput() {
    return this == IN_FLIGHT_DISCARDING || this == CLOSING;
  }

  /** The state once the request in flight is complete, with a response or without. */
  ConnectionState afterRequest() {
    return switch (this) {
      case AWAITING_REQUEST, IN_FLIGHT -> AWAITING_REQUEST;
      case IN_FLIGHT_DISCARDING, CLOSING -> CLOSING;
    };
  }

  /** The state in which further input is discarded. */
  ConnectionState discardingInput() {
    return switch (this) {
      case AWAITING_REQUEST, CLOSING -> CLOSING;
      case IN_FLIGHT, IN_FLIGHT_DISCARDING -> IN_FLIGHT_DISCARDING;
    };
  }
}
