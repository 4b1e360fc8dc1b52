package loadbalancer.proxy.telemetry;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import loadbalancer.policy.event.AttemptStatus;
import org.junit.jupiter.api.Test;

/** What a report tells, and that it starts again from nothing. */
class TrafficCountersTest {

  private static final long MS = 1_000_000L;

  @Test
  void reportTellsWhatNearAwayAndColdUpstreamsServed() {
    TrafficCounters counters = new TrafficCounters();
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
    counters.ended(address, TrafficCounters.Kind.NEAR, AttemptStatus.SERVED, false, 0, 40 * MS);
    counters.ended(address, TrafficCounters.Kind.NEAR, AttemptStatus.SERVED, false, 0, 60 * MS);
    counters.ended(address, TrafficCounters.Kind.AWAY, AttemptStatus.SERVED, false, 0, 70 * MS);
    counters.ended(address, TrafficCounters.Kind.COLD, AttemptStatus.SERVED, false, 0, 200 * MS);
    counters.ended(address, TrafficCounters.Kind.COLD, AttemptStatus.TIMEOUT, false, 0, 900 * MS);
    String line = counters.report();
    assertTrue(
        line.contains("served near 2 50.0, away 1 70.0, cold 1 200.0, timed out 900.0;"), line);
    assertNull(counters.report(), "nothing since");
  }
}
