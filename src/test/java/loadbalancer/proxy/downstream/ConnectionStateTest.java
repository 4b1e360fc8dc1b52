package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the transitions of {@link ConnectionState} and its predicates, for every state. */
class ConnectionStateTest {

  @ParameterizedTest
  @CsvSource({
    "AWAITING_REQUEST, AWAITING_REQUEST",
    "IN_FLIGHT, AWAITING_REQUEST",
    "IN_FLIGHT_DISCARDING, CLOSING",
    "CLOSING, CLOSING"
  })
  void endOfRequestClosesTheConnectionIfInputIsDiscarded(
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
  void discardingInputKeepsTheRequestInFlight(ConnectionState before, ConnectionState after) {
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
  void predicatesMatchTheState(
      ConnectionState state, boolean hasRequestInFlight, boolean isDiscardingInput) {
    assertEquals(hasRequestInFlight, state.hasRequestInFlight());
    assertEquals(isDiscardingInput, state.isDiscardingInput());
  }
}
