package loadbalancer.proxy.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import loadbalancer.policy.event.AttemptStatus;
import org.junit.jupiter.api.Test;

/** Tests the log line of an interval, and that the next interval starts from zero. */
class TrafficReporterTest {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final TrafficCounters counters = new TrafficCounters();
  private final TrafficReporter reporter = new TrafficReporter(counters);

  private static InetSocketAddress endpoint(int port) {
    try {
      return new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), port);
    } catch (UnknownHostException e) {
      throw new AssertionError(e);
    }
  }

  private void completeAttempt(
      EndpointCategory category, AttemptStatus status, long latencyMillis) {
    counters.attemptCompleted(
        new CompletedAttempt(
            endpoint(1), category, status, false, 0, latencyMillis * NANOS_PER_MILLI));
  }

  @Test
  void lineReportsServedAttemptsByEndpointCategoryAndCountersAreReset() {
    completeAttempt(EndpointCategory.LOCAL_ZONE, AttemptStatus.SERVED, 40);
    completeAttempt(EndpointCategory.LOCAL_ZONE, AttemptStatus.SERVED, 60);
    completeAttempt(EndpointCategory.REMOTE_ZONE, AttemptStatus.SERVED, 70);
    completeAttempt(EndpointCategory.WARMING_UP, AttemptStatus.SERVED, 200);
    completeAttempt(EndpointCategory.WARMING_UP, AttemptStatus.TIMEOUT, 900);
    String line = reporter.endInterval(0).orElseThrow();
    assertTrue(
        line.contains(
            " served_local_zone=2 served_local_zone_mean_ms=50.0"
                + " served_remote_zone=1 served_remote_zone_mean_ms=70.0"
                + " served_warming_up=1 served_warming_up_mean_ms=200.0"
                + " timeout_mean_ms=900.0 "),
        line);
    assertEquals(Optional.empty(), reporter.endInterval(0), "the next interval is empty");
  }

  @Test
  void lineReportsEveryCounterAndTheWorstEndpoint() {
    counters.requestReceived();
    counters.requestRejectedOnArrival();
    counters.requestRejectedLater();
    counters.requestRejectedLater();
    counters.requestFailed();
    counters.clientDisconnected();
    for (int i = 0; i < 3; i++) {
      completeAttempt(EndpointCategory.LOCAL_ZONE, AttemptStatus.ERROR, 1);
    }
    completeAttempt(EndpointCategory.LOCAL_ZONE, AttemptStatus.SERVED, 10);
    counters.attemptCompleted(
        new CompletedAttempt(
            endpoint(2),
            EndpointCategory.REMOTE_ZONE,
            AttemptStatus.RESET,
            true,
            5 * NANOS_PER_MILLI,
            0));
    counters.loopLagMeasured(7 * NANOS_PER_MILLI);
    counters.loopLagMeasured(2 * NANOS_PER_MILLI);
    assertEquals(
        "traffic: interval open=4 received=1 rejected_on_arrival=1 rejected_later=2 failed=1"
            + " client_disconnects=1 attempts_served=1 attempts_error=3 attempts_rejected=0"
            + " attempts_timeout=0 attempts_connect_failed=0 attempts_reset=1"
            + " attempts_cancelled=0 attempts_not_sent=0"
            + " stale_connections=1 send_delay_mean_ms=1.0"
            + " served_local_zone=1 served_local_zone_mean_ms=10.0"
            + " served_remote_zone=0 served_remote_zone_mean_ms=0.0"
            + " served_warming_up=0 served_warming_up_mean_ms=0.0"
            + " timeout_mean_ms=0.0 loop_lag_max_ms=7"
            + " worst_endpoints=3/4@/127.0.0.1:1",
        reporter.endInterval(4).orElseThrow());
  }
}
