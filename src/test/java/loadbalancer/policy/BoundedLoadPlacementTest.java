package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.settings.PolicySettings;
import org.junit.jupiter.api.Test;

/** How the requests of a key or a zone are distributed over endpoints. */
class BoundedLoadPlacementTest {

  @Test
  void hotKeyIsSpreadWithinTheLoadBound() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    Map<Long, Integer> inFlightByEndpoint = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      long endpointId =
          PolicyDriver.forwardedTo(driver.requestArrives(driver.nextRequestId(), "hot"));
      int inFlight = inFlightByEndpoint.merge(endpointId, 1, Integer::sum);
      int bound = (int) Math.ceil(2.0 * (i + 1) / 5);
      assertTrue(inFlight <= bound, inFlight + " in flight, bound " + bound);
    }
    assertTrue(inFlightByEndpoint.size() >= 3);
  }

  /**
   * With hundreds of balancers and hardly a request in flight at each, bounds on the load in flight
   * have no effect.
   */
  @Test
  void hotKeyUnderSparseTrafficIsBoundedByRecentInFlightTime() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(12);
    Map<Long, Integer> forwardedByEndpoint = new HashMap<>();
    for (int i = 0; i < 120; i++) {
      long endpointId = driver.serveRequest(i % 2 == 0 ? "hot" : "k" + i, millis(20));
      forwardedByEndpoint.merge(endpointId, 1, Integer::sum);
      driver.advance(millis(30));
    }
    int max = forwardedByEndpoint.values().stream().mapToInt(n -> n).max().getAsInt();
    assertTrue(max <= 2 * 10 + 3, "of 120 requests forwarded to one of 12 endpoints: " + max);
  }

  /**
   * The recent in-flight time is bounded, not the number of recent requests: a slow endpoint would
   * otherwise get as many requests as a fast one.
   */
  @Test
  void slowEndpointGetsFewerRequestsUnderSparseTraffic() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(4);
    long slow = driver.serveRequest("hot", millis(20));
    int forwardedToSlow = 0;
    for (int i = 0; i < 200; i++) {
      String requestId = driver.nextRequestId();
      long endpointId = PolicyDriver.forwardedTo(driver.requestArrives(requestId, "hot"));
      forwardedToSlow += endpointId == slow ? 1 : 0;
      long latencyNanos = endpointId == slow ? millis(80) : millis(20);
      driver.advance(latencyNanos);
      driver.attemptCompletes(requestId, endpointId, AttemptStatus.SERVED, latencyNanos);
      driver.advance(millis(150));
    }
    assertTrue(
        forwardedToSlow > 5 && forwardedToSlow < 60,
        "of 200 requests forwarded to the slow endpoint: " + forwardedToSlow);
  }

  /** Traffic stays in the zone only up to the zone's fraction of the fleet. */
  @Test
  void zoneWithOneEndpointLeftGetsOnlyItsFractionOfTheTraffic() {
    PolicySettings settings = new TestSettings().balancer(0, 100, "a").crossZoneCost(0.05).build();
    PolicyDriver driver = new PolicyDriver(settings);
    EndpointDescriptor[] oneInZoneA =
        IntStream.range(0, 10)
            .mapToObj(i -> TestEndpoints.readyIn(i == 0 ? "a" : "b", i, i))
            .toArray(EndpointDescriptor[]::new);
    driver.updateEndpoints(EndpointListUpdate.Kind.CACHED, oneInZoneA);
    int local = 0;
    for (int i = 0; i < 200; i++) {
      local += driver.serveRequest("k" + i, millis(20)) == 0 ? 1 : 0;
      driver.advance(millis(30));
    }
    assertTrue(local >= 20 && local <= 90, "of 200 requests forwarded within the zone: " + local);
  }

  /**
   * An endpoint serves a key faster if it served the key recently. Each move of a key under high
   * load therefore adds load.
   */
  @Test
  void keyStaysOnFewEndpointsUnderHighLoad() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(12);
    Map<String, Set<Long>> endpointsByKey = new HashMap<>();
    for (int i = 0; i < 4000; i++) {
      String key = "k" + i % 60;
      long endpointId =
          PolicyDriver.forwardedTo(driver.requestArrives(driver.nextRequestId(), key));
      if (endpointId != PolicyDriver.NOT_FORWARDED) {
        endpointsByKey.computeIfAbsent(key, k -> new HashSet<>()).add(endpointId);
      }
      driver.advanceCompletingAttempts(millis(1), AttemptStatus.SERVED, millis(200));
    }
    double mean = endpointsByKey.values().stream().mapToInt(Set::size).average().getAsDouble();
    assertTrue(mean <= 3.5, "mean endpoints per key: " + mean);
  }
}
