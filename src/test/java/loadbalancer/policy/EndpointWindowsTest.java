package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.policy.SlidingWindow.Metric;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.settings.PolicySettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The sliding windows of an endpoint exist only once it had an attempt. */
class EndpointWindowsTest {

  private static final PolicySettings SETTINGS = TestSettings.defaults();

  static PendingRequest pending(PolicyComponents components, long nowNanos) {
    RequestArrived request =
        new RequestArrived(
            "r", TestSettings.REQUEST_CLASS, null, "k", nowNanos + millis(2000), 0, false);
    return new PendingRequest(
        request,
        SETTINGS.requestClasses().get(0),
        nowNanos,
        1,
        components.traffic.windowsOf(request, false, nowNanos));
  }

  @Test
  void onlyAnAttemptCreatesTheWindows() {
    PolicyComponents components =
        new PolicyComponents(
            SETTINGS, LatencyObjectives.of(SETTINGS.requestClasses()), new SplittableRandom(1));
    long nowNanos = millis(5000);
    components.registry.apply(
        new EndpointListUpdate(
            EndpointListUpdate.Kind.FULL, List.of(TestEndpoints.spreadOverZones(20, "a", "b"))),
        nowNanos);
    PendingRequest pending = pending(components, nowNanos);
    Endpoint endpoint = components.placement.place(pending, nowNanos);
    components.outlierDetector.updatePanic(nowNanos);
    assertNull(endpoint.inFlightTime);
    assertFalse(endpoint.responses.hasWindow());

    components.inFlightTime.attemptStarted(endpoint, 1, nowNanos);
    assertNotNull(endpoint.inFlightTime);
    endpoint.responses.record(pending, millis(40), millis(1), nowNanos);
    assertTrue(endpoint.responses.hasWindow());
    RingWalk walk = components.registry.newRingWalk();
    walk.start("k");
    for (int i = 0; i < 1000; i++) {
      Endpoint other = walk.next();
      assertTrue(other == endpoint || other.inFlightTime == null, "windows of endpoint " + i);
    }
  }

  /** Created in the middle of a slot or many windows later, with reads in between or without. */
  @ParameterizedTest
  @ValueSource(longs = {0, 1, 99, 100, 650, 1199, 1200, 123_456})
  void windowCreatedAtFirstUseHasTheTotalsOfOneCreatedAtListing(long delayNanos) {
    long listedNanos = 77;
    SlidingWindow atListing = new SlidingWindow(1200, listedNanos);
    long firstUseNanos = listedNanos + delayNanos;
    SlidingWindow atFirstUse = new SlidingWindow(1200, firstUseNanos);
    SplittableRandom random = new SplittableRandom(delayNanos);
    for (long now = firstUseNanos; now < firstUseNanos + 20_000; now += random.nextInt(1, 400)) {
      Metric metric = random.nextBoolean() ? Metric.LATENCY : Metric.SAMPLES;
      double amount = random.nextDouble();
      atListing.add(now, metric, amount);
      atFirstUse.add(now, metric, amount);
      for (Metric read : Metric.values()) {
        assertEquals(atListing.total(now, read), atFirstUse.total(now, read));
      }
      assertEquals(atListing.mean(now, 1), atFirstUse.mean(now, 1));
    }
  }
}
