package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.settings.PolicySettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The count of unusable endpoints is that of a visit to all endpoints. */
class UnusableEndpointsTest {

  private static final PolicySettings SETTINGS = TestSettings.defaults();

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void countIsThatOfAllReadyEndpoints(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    PolicyComponents components =
        new PolicyComponents(SETTINGS, LatencyObjectives.of(SETTINGS.requestClasses()), random);
    EndpointRegistry registry = components.registry;
    OutlierDetector detector = components.outlierDetector;
    Set<Endpoint> seen = new HashSet<>();
    registry.apply(
        new EndpointListUpdate(
            EndpointListUpdate.Kind.FULL, List.of(TestEndpoints.spreadOverZones(12, "a"))),
        0);
    int maxUnusable = 0;
    for (long now = millis(5000); now < millis(60_000); now += millis(random.nextInt(1, 60))) {
      EndpointStatus status = EndpointStatus.values()[random.nextInt(10) / 8];
      EndpointDescriptor entry =
          new EndpointDescriptor(
              random.nextInt(12), "a", 0, status, random.nextInt(9) == 0 ? now : 0, 1);
      registry.apply(new EndpointListUpdate(EndpointListUpdate.Kind.DELTA, List.of(entry)), now);
      RingWalk walk = registry.newRingWalk();
      walk.start("" + random.nextLong());
      Endpoint endpoint = walk.next();
      seen.add(endpoint);
      if (endpoint.inFlight() == 0) {
        detector.attemptStarted(endpoint, now);
        registry.attemptStarted(endpoint, 1);
      } else {
        registry.attemptCompleted(endpoint, 1);
        detector.attemptCompleted(endpoint, now);
        if (random.nextInt(5) == 0) {
          detector.recordSuccess(endpoint);
          endpoint.responses.record(
              EndpointWindowsTest.pending(components, now), millis(5), 0, now);
        } else {
          detector.recordFailure(endpoint, now);
        }
      }
      final long nowNanos = now;
      int unusable =
          (int)
              seen.stream()
                  .filter(Endpoint::isReady)
                  .filter(
                      e ->
                          OutlierDetector.isEjected(e, nowNanos)
                              || detector.isUnresponsive(e, nowNanos))
                  .count();
      assertEquals(unusable, detector.countUnusable(now));
      maxUnusable = Math.max(maxUnusable, unusable);
    }
    assertTrue(maxUnusable >= 3, "the most unusable endpoints: " + maxUnusable);
  }
}
