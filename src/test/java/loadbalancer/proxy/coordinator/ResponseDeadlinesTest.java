package loadbalancer.proxy.coordinator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How long before the client stops waiting a response is due. */
class ResponseDeadlinesTest {

  /** Clients with little time left wait for less than the margin that others have to spare. */
  @Test
  void marginLeavesMostOfAShortWait() {
    assertEquals(60_000_000L, ResponseDeadlines.marginNanos(1_000_000_000L));
    for (long timeLeftNanos = 10_000_000L;
        timeLeftNanos <= 120_000_000L;
        timeLeftNanos += 10_000_000L) {
      assertTrue(
          ResponseDeadlines.marginNanos(timeLeftNanos) <= timeLeftNanos / 4,
          "of " + timeLeftNanos + " ns");
    }
  }
}
