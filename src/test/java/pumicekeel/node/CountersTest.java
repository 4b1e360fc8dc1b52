package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.Status;

/** What a report tells, and that it starts again from nothing. */
class CountersTest {

  private static final long MS = 1_000_000L;

  @Test
  void reportTellsWhatNearAwayAndColdUpstreamsServed() {
    Counters counters = new Counters();
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
    counters.ended(address, Counters.Kind.NEAR, Status.SERVED, false, 0, 40 * MS);
    counters.ended(address, Counters.Kind.NEAR, Status.SERVED, false, 0, 60 * MS);
    counters.ended(address, Counters.Kind.AWAY, Status.SERVED, false, 0, 70 * MS);
    counters.ended(address, Counters.Kind.COLD, Status.SERVED, false, 0, 200 * MS);
    counters.ended(address, Counters.Kind.COLD, Status.TIMEOUT, false, 0, 900 * MS);
    String line = counters.report();
    assertTrue(
        line.contains("served near 2 50.0, away 1 70.0, cold 1 200.0, timed out 900.0;"), line);
    assertNull(counters.report(), "nothing since");
  }
}
