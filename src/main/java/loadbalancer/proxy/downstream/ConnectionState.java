package loadbalancer.proxy.downstream;

/** The state of a client connection, which decides how further input is treated. */
enum ConnectionState {
  /** No request is in flight; input belongs to the next request. */
  AWAITING_REQUEST,

  /** A complete request waits for its response, and nothing has been received after it. */
  IN_FLIGHT,

  /** A request is in flight; further input is discarded, and the response is the last one. */
  IN_FLIGHT_DISCARDING,

  /** No request is in flight and input is discarded; the connection closes after its writes. */
  CLOSING;

  /** Returns whether a complete request waits for its response. */
  boolean hasRequestInFlight() {
    return this == IN_FLIGHT || this == IN_FLIGHT_DISCARDING;
  }

  /** Returns whether further input is discarded without being parsed. */
  boolean isDiscardingInput() {
    return this == IN_FLIGHT_DISCARDING || this == CLOSING;
  }

  /** Returns the state after the request in flight has ended, with or without a response. */
  ConnectionState afterRequest() {
    return switch (this) {
      case AWAITING_REQUEST, IN_FLIGHT -> AWAITING_REQUEST;
      case IN_FLIGHT_DISCARDING, CLOSING -> CLOSING;
    };
  }

  /** Returns the state that follows this one when further input is to be discarded. */
  ConnectionState discardingInput() {
    return switch (this) {
      case AWAITING_REQUEST, CLOSING -> CLOSING;
      case IN_FLIGHT, IN_FLIGHT_DISCARDING -> IN_FLIGHT_DISCARDING;
    };
  }
}
