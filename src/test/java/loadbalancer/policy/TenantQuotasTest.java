package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.settings.Tenant;
import org.junit.jupiter.api.Test;

/** Which requests are over their tenant's quota, and how this affects their admission. */
class TenantQuotasTest {

  private static PolicyDriver driverFor(int endpoints, Tenant... tenants) {
    return PolicyDriver.withReadyEndpoints(new TestSettings().tenants(tenants).build(), endpoints);
  }

  @Test
  void overQuotaTrafficIsRejectedFirst() {
    PolicyDriver driver = driverFor(5, new Tenant("big", 0.5, 10), new Tenant("small", 0.5, 1000));
    for (int i = 0; i < 2000; i++) {
      for (String tenant : List.of("big", "small")) {
        driver.requestArrives(tenant + driver.nextRequestId(), tenant, "k" + i % 50, 0);
      }
      driver.advanceCompletingAttempts(millis(20), AttemptStatus.SERVED, millis(140));
    }
    assertTrue(driver.rejected("big") > 300, "rejected over quota: " + driver.rejected("big"));
    assertEquals(0, driver.rejected("small"), "nothing within quota is rejected");
  }

  /** The balancer's own load does not cause this latency; a slow dependency may, for example. */
  @Test
  void withinQuotaHighLatencyAtUsualLoadCausesNoRejections() {
    PolicyDriver driver = driverFor(5, new Tenant("t", 1, 1000));
    driver.rejectedFraction("t", 2000, 10, millis(40), AttemptStatus.SERVED);
    assertEquals(0, driver.rejectedFraction("t", 300, 4, millis(390), AttemptStatus.SERVED), 0.02);
  }

  /** With a quota divided among many balancers, two requests in quick succession are chance. */
  @Test
  void smallQuotaAllowsAShortBurst() {
    PolicyDriver driver = driverFor(8, new Tenant("t", 1, 1));
    for (int i = 0; i < 20; i++) {
      driver.requestArrives(driver.nextRequestId(), "t", "k" + i, 0);
      driver.advanceCompletingAttempts(millis(4000), AttemptStatus.SERVED, millis(190));
    }
    int forwarded = 0;
    for (int i = 0; i < 3; i++) {
      long endpointId =
          PolicyDriver.forwardedTo(driver.requestArrives(driver.nextRequestId(), "t", "x" + i, 0));
      forwarded += endpointId != PolicyDriver.NOT_FORWARDED ? 1 : 0;
    }
    assertEquals(3, forwarded);
  }
}
