package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.WatchEndpoints;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.settings.PolicySettings;
import org.junit.jupiter.api.Test;

/** When the watch of the endpoint list is started, and started again after a failure. */
class WatchBackoffTest {

  @Test
  void polledListIsWatchedAtTheStartAndAgainAfterEachFailure() {
    PolicyDriver driver = new PolicyDriver(new TestSettings().endpointListPolled().build());
    assertTrue(
        PolicyDriver.contains(
            driver.updateEndpoints(EndpointListUpdate.Kind.CACHED, TestEndpoints.ready(1)),
            WatchEndpoints.class));
    for (int i = 0; i < 20; i++) {
      driver.updateEndpoints(EndpointListUpdate.Kind.FAILED);
      assertTrue(
          PolicyDriver.contains(driver.advance(millis(1000)), WatchEndpoints.class),
          "watched again before updates count as notified");
    }
    assertFalse(
        PolicyDriver.contains(
            driver.updateEndpoints(
                EndpointListUpdate.Kind.FULL, TestEndpoints.ready(1), TestEndpoints.ready(2)),
            WatchEndpoints.class));
    assertFalse(
        PolicyDriver.contains(driver.advance(millis(9000)), WatchEndpoints.class),
        "a watch that is up is not started twice");
  }

  /** A timer that fires a fraction of a microsecond early must not end the polling. */
  @Test
  void timerThatFiresALittleEarlyStillStartsTheWatch() {
    PolicyDriver driver = new PolicyDriver(new TestSettings().endpointListPolled().build());
    driver.updateEndpoints(EndpointListUpdate.Kind.CACHED, TestEndpoints.ready(1));
    driver.updateEndpoints(EndpointListUpdate.Kind.FAILED);

    List<Action> actions = new ArrayList<>(driver.fireLastTimerEarly(405));
    actions.addAll(driver.advance(millis(10)));

    assertTrue(PolicyDriver.contains(actions, WatchEndpoints.class));
  }

  /** Updates that come while no watch is up count as notified, so the drain grace runs. */
  @Test
  void pushedListIsWatchedAgainWellInsideTheDrainGrace() {
    PolicySettings settings = TestSettings.defaults();
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(settings, 1);
    for (int failures = 1; failures <= 20; failures++) {
      driver.updateEndpoints(EndpointListUpdate.Kind.FAILED);
      assertTrue(
          PolicyDriver.contains(
              driver.advance(settings.serviceRules().drainGraceNanos() / 4), WatchEndpoints.class),
          "failure " + failures);
    }
  }
}
