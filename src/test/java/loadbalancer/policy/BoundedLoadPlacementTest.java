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

/** How far the requests of a key or a zone spread over endpoints. */
class BoundedLoadPlacementTest {

  @Test
  void hotKeySpreadsUnderTheLoadBound() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    Map<Long, Integer> inFlightByEndpoint = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      long endpointId =
          PolicyDriver.forwardedTo(driver.requestArrives(driver.nextRequestId(), "hot"));
      int inFlight = inFlightByEndpoint.merge(endpointId, 1, Integer::sum);
      int bound = (int) Math.ceil(2.0 * (i + 1) / 5);
      assertTrue(inFlight <= bound, inFlight + " in flight over a bound of " + bound);
    }
    assertTrue(inFlightByEndpoint.size() >= 3);
  }

  /** With hundreds of balancers that have hardly a request each, in-flight counts bound nothing. */
  @Test
  void hotKeyOfASparseBalancerIsBoundedByInFlightTimeOfTheRecentPast() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(12);
    Map<Long, Integer> forwardedByEndpoint = new HashMap<>();
    for (int i = 0; i < 120; i++) {
      long endpointId = driver.serveRequest(i % 2 == 0 ? "hot" : "k" + i, millis(20));
      forwardedByEndpoint.merge(endpointId, 1, Integer::sum);
      driver.advance(millis(30));
    }
    int max = forwardedByEndpoint.values().stream().mapToInt(n -> n).max().getAsInt();
    assertTrue(max <= 2 * 10 + 3, "forwarded to one endpoint of 12, of 120: " + max);
  }

  /** In-flight time counts rather than requests, or a slow endpoint would get as many as a fast. */
  @Test
  void slowEndpointGetsFewerRequestsOfASparseBalancer() {
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
        "forwarded to the slow endpoint of 200: " + forwardedToSlow);
  }

  /** Traffic stays in the zone only up to the zone's part of the fleet. */
  @Test
  void zoneLeftWithOneEndpointGetsItsFractionOfTheTrafficOnly() {
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
    assertTrue(local >= 20 && local <= 90, "forwarded within the zone of 200: " + local);
  }

  /** An endpoint serves a key faster that it served recently: each move under load adds load. */
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
    assertTrue(mean <= 3.5, "endpoints of a key: " + mean);
  }
}
