package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.policy.event.AttemptStatus;
import org.junit.jupiter.api.Test;

/** The number of sliding windows that a policy tracks. */
class TrafficStatisticsTest {

  @Test
  void windowsOfKeysWithoutTrafficAreEvicted() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    for (int i = 0; i < 5_000; i++) {
      driver.requestArrives(driver.nextRequestId(), "once-" + i);
      driver.advanceCompletingAttempts(millis(10), AttemptStatus.SERVED, millis(5));
    }
    int windows = driver.policy().trackedWindows();
    assertTrue(
        windows < 300,
        "100 of these keys arrive in one window's length; tracked windows: " + windows);
  }
}
