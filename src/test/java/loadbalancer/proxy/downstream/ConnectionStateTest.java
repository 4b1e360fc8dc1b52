package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The states of a client connection and their transitions. */
class ConnectionStateTest {

  @ParameterizedTest
  @CsvSource({
    "AWAITING_REQUEST, AWAITING_REQUEST",
    "IN_FLIGHT, AWAITING_REQUEST",
    "IN_FLIGHT_DISCARDING, CLOSING",
    "CLOSING, CLOSING"
  })
  void connectionClosesAfterARequestIfItDiscardsInput(
      ConnectionState before, ConnectionState after) {
    assertEquals(after, before.afterRequest());
  }

  @ParameterizedTest
  @CsvSource({
    "AWAITING_REQUEST, CLOSING",
    "IN_FLIGHT, IN_FLIGHT_DISCARDING",
    "IN_FLIGHT_DISCARDING, IN_FLIGHT_DISCARDING",
    "CLOSING, CLOSING"
  })
  void discardingInputKeepsARequestInFlight(ConnectionState before, ConnectionState after) {
    assertEquals(after, before.discardingInput());
    assertEquals(before.hasRequestInFlight(), after.hasRequestInFlight());
  }

  @ParameterizedTest
  @CsvSource({
    "AWAITING_REQUEST, false, false",
    "IN_FLIGHT, true, false",
    "IN_FLIGHT_DISCARDING, true, true",
    "CLOSING, false, true"
  })
  void eachStateHasARequestInFlightOrDiscardsInputAsNamed(
      ConnectionState state, boolean hasRequestInFlight, boolean isDiscardingInput) {
    assertEquals(hasRequestInFlight, state.hasRequestInFlight());
    assertEquals(isDiscardingInput, state.isDiscardingInput());
  }
}
