package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.settings.PolicySettings;
import org.junit.jupiter.api.Test;

/**
 * What one balancer forwards to an endpoint that is warming up; {@link SlowStartFleetTest} tests
 * the sum over many balancers.
 */
class SlowStartTest {

  @Test
  void restartedEndpointGetsTrafficInProportionToItsCapacity() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(9);
    serveRequests(driver, 2000, 0, millis(1));

    restartEndpoint(driver, 500);
    List<Long> endpointIds = serveRequests(driver, 3000, 0, millis(1));

    double fraction = Collections.frequency(endpointIds, 500L) / (3000 / 10.0);
    assertTrue(
        fraction > 0.1 && fraction < 0.3 + 0.7 * 3 / 8 + 0.1,
        "fraction of a warm endpoint's requests: " + fraction);
  }

  /**
   * The endpoints of a zone serve all of its traffic, so the restarted one is compared with them,
   * not with the mean over the fleet.
   */
  @Test
  void restartedEndpointGetsItsFractionOfTheLocalZonesTraffic() {
    PolicySettings settings = new TestSettings().balancer(0, 100, "a").crossZoneCost(0.05).build();
    PolicyDriver driver = new PolicyDriver(settings);
    driver.updateEndpoints(
        EndpointListUpdate.Kind.CACHED, TestEndpoints.spreadOverZones(16, "a", "b", "c", "d"));
    serveRequests(driver, 400, 0, millis(20));

    restartEndpoint(driver, 0);
    List<Long> endpointIds = serveRequests(driver, 150, 0, millis(20));

    // A warm endpoint gets a quarter of the 150. In the first 3 s of its 8 s warm-up, the restarted
    // one has 0.3 to 0.56 of its capacity.
    int toRestarted = Collections.frequency(endpointIds, 0L);
    assertTrue(
        toRestarted > 0.3 * 150 / 4 && toRestarted < 0.7 * 150 / 4,
        "forwarded to the restarted endpoint: " + toRestarted);
  }

  /** A few heavy requests use up the capacity of an endpoint that is warming up. */
  @Test
  void requestHintedAsHeavyTakesMoreOfTheSlowStartBudget() {
    int light = forwardedWhileWarmingUp(millis(20));
    int heavy = forwardedWhileWarmingUp(millis(80));
    assertTrue(
        light >= 4 && heavy <= light / 2,
        "forwarded to the restarted endpoint: light " + light + ", heavy " + heavy);
  }

  private static int forwardedWhileWarmingUp(long workHintNanos) {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(9);
    serveRequests(driver, 2000, millis(20), millis(1));
    restartEndpoint(driver, 500);
    return Collections.frequency(serveRequests(driver, 200, workHintNanos, millis(1)), 500L);
  }

  private static void restartEndpoint(PolicyDriver driver, long endpointId) {
    driver.updateEndpoints(
        EndpointListUpdate.Kind.DELTA, TestEndpoints.restarted(endpointId, driver.nowNanos()));
  }

  /** Serves requests one after the other, each with another key; the endpoint of each. */
  private static List<Long> serveRequests(
      PolicyDriver driver, int requests, long workHintNanos, long latencyNanos) {
    List<Long> endpointIds = new ArrayList<>();
    for (int i = 0; i < requests; i++) {
      endpointIds.add(driver.serveRequest("k" + i, workHintNanos, latencyNanos));
    }
    return endpointIds;
  }
}
