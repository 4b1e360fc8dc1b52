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

/** Tests when the watch of the endpoint list is started, and restarted after a failure. */
class WatchBackoffTest {

  @Test
  void polledListIsWatchedAtStartAndAfterEachFailure() {
    PolicyDriver driver = new PolicyDriver(new TestSettings().endpointListPolled().build());
    assertTrue(
        PolicyDriver.contains(
            driver.updateEndpoints(EndpointListUpdate.Kind.CACHED, TestEndpoints.ready(1)),
            WatchEndpoints.class));
    for (int i = 0; i < 20; i++) {
      driver.updateEndpoints(EndpointListUpdate.Kind.FAILED);
      assertTrue(
          PolicyDriver.contains(driver.advance(millis(1000)), WatchEndpoints.class),
          "restarted before missed changes count as notified, failure " + i);
    }
    assertFalse(
        PolicyDriver.contains(
            driver.updateEndpoints(
                EndpointListUpdate.Kind.FULL, TestEndpoints.ready(1), TestEndpoints.ready(2)),
            WatchEndpoints.class));
    assertFalse(
        PolicyDriver.contains(driver.advance(millis(9000)), WatchEndpoints.class),
        "started while the watch is running");
  }

  /** A timer that fires a fraction of a microsecond early must not end the polling. */
  @Test
  void timerThatFiresEarlyStillStartsTheWatch() {
    PolicyDriver driver = new PolicyDriver(new TestSettings().endpointListPolled().build());
    driver.updateEndpoints(EndpointListUpdate.Kind.CACHED, TestEndpoints.ready(1));
    driver.updateEndpoints(EndpointListUpdate.Kind.FAILED);

    List<Action> actions = new ArrayList<>(driver.fireLastTimerEarly(405));
    actions.addAll(driver.advance(millis(10)));

    assertTrue(PolicyDriver.contains(actions, WatchEndpoints.class));
  }

  /** Changes count as notified even while no watch is running, so the drain grace starts to run. */
  @Test
  void pushedListIsWatchedAgainWellWithinTheDrainGrace() {
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
