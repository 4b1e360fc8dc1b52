package loadbalancer.proxy.coordinator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests the margin between the deadline of a response and the time at which its client stops
 * waiting.
 */
class ResponseDeadlinesTest {

  /**
   * A fixed margin would leave no time for requests whose clients wait for less than the margin.
   */
  @Test
  void marginLeavesMostOfShortTimeLeft() {
    assertEquals(60_000_000L, ResponseDeadlines.marginNanos(1_000_000_000L));
    for (long timeLeftNanos = 10_000_000L;
        timeLeftNanos <= 120_000_000L;
        timeLeftNanos += 10_000_000L) {
      assertTrue(
          ResponseDeadlines.marginNanos(timeLeftNanos) <= timeLeftNanos / 4,
          "client time left in ns: " + timeLeftNanos);
    }
  }
}
