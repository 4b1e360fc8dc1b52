package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.policy.event.EndpointListUpdate;
import org.junit.jupiter.api.Test;

/** Which endpoint owns a key, and which keys an update of the endpoint list moves. */
class HashRingTest {

  private static Map<String, Long> ownerByKey(PolicyDriver driver, int keys) {
    Map<String, Long> ownerByKey = new HashMap<>();
    for (int i = 0; i < keys; i++) {
      ownerByKey.put("k" + i, driver.serveRequest("k" + i, millis(1)));
    }
    return ownerByKey;
  }

  @Test
  void keysSpreadEvenlyAndRemovingAnEndpointMovesOnlyItsKeys() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(10);
    Map<String, Long> before = ownerByKey(driver, 2000);
    Map<Long, Integer> keysByEndpoint = new HashMap<>();
    before.values().forEach(endpointId -> keysByEndpoint.merge(endpointId, 1, Integer::sum));
    assertEquals(10, keysByEndpoint.size());
    keysByEndpoint
        .values()
        .forEach(
            keys -> assertTrue(keys > 120 && keys < 300, "keys of one of 10 endpoints: " + keys));

    driver.updateEndpoints(EndpointListUpdate.Kind.DELTA, TestEndpoints.removed(103));

    Map<String, Long> after = ownerByKey(driver, 2000);
    before.forEach(
        (key, owner) -> {
          if (owner == 103) {
            assertNotEquals(103L, after.get(key));
          } else {
            assertEquals(owner, after.get(key));
          }
        });
  }
}
