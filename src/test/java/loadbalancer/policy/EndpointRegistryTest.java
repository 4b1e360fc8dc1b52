package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;

import loadbalancer.policy.event.EndpointListUpdate;
import org.junit.jupiter.api.Test;

/** How updates of the endpoint list change which endpoints get requests. */
class EndpointRegistryTest {

  @Test
  void drainingAndRemovedEndpointsGetNoNewRequests() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(3);
    driver.updateEndpoints(EndpointListUpdate.Kind.DELTA, TestEndpoints.draining(100));
    driver.updateEndpoints(
        EndpointListUpdate.Kind.FULL, TestEndpoints.draining(100), TestEndpoints.ready(102));
    for (int i = 0; i < 200; i++) {
      assertEquals(102, driver.serveRequest("k" + i, millis(1)));
    }
  }

  @Test
  void removedEndpointIsUsedAgainAfterItRestarts() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(1);
    driver.updateEndpoints(EndpointListUpdate.Kind.FULL);
    assertEquals(PolicyDriver.NOT_FORWARDED, driver.serveRequest("k", millis(1)));
    driver.updateEndpoints(
        EndpointListUpdate.Kind.DELTA, TestEndpoints.restarted(100, driver.nowNanos()));
    driver.advance(millis(2000));
    assertEquals(100, driver.serveRequest("k", millis(1)));
  }
}
