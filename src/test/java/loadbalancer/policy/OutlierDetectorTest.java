package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.policy.event.AttemptStatus;
import org.junit.jupiter.api.Test;

/** Which endpoints are ejected, and when an ejected endpoint is tried again. */
class OutlierDetectorTest {

  /**
   * An endpoint that fails fast has the fewest requests in flight, so placement would prefer it.
   */
  @Test
  void endpointIsEjectedAfterThreeFailuresAndThenTriedAgain() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(6);
    for (int i = 0; i < 60; i++) {
      driver.requestArrives(driver.nextRequestId(), "busy" + i);
      driver.advanceCompletingAttempts(millis(10), AttemptStatus.SERVED, millis(300));
    }
    driver.advanceCompletingAttempts(millis(400), AttemptStatus.SERVED, millis(300));
    long outlier = driver.serveRequest("k0", millis(1));
    int forwardedToOutlier = 0;
    for (int i = 0; i < 100; i++) {
      String requestId = driver.nextRequestId();
      long endpointId = PolicyDriver.forwardedTo(driver.requestArrives(requestId, "k0"));
      while (endpointId == outlier) {
        forwardedToOutlier++;
        endpointId =
            PolicyDriver.forwardedTo(
                driver.attemptCompletes(
                    requestId, outlier, AttemptStatus.CONNECT_FAILED, millis(1)));
      }
      driver.advance(millis(1));
      driver.attemptCompletes(requestId, endpointId, AttemptStatus.SERVED, millis(1));
    }
    assertEquals(3, forwardedToOutlier, "attempts forwarded to the outlier before its ejection");
    driver.advance(millis(600));
    assertEquals(outlier, driver.serveRequest("k0", millis(1)), "endpoint of the half-open trial");
    assertEquals(
        outlier, driver.serveRequest("k0", millis(1)), "endpoint after the trial was served");
  }

  /**
   * An endpoint that rejects at once has the fewest requests in flight, so placement would prefer
   * it.
   */
  @Test
  void endpointThatRejectsEveryRequestIsEjected() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    int rejected = 0;
    for (int i = 0; i < 1_000; i++) {
      driver.requestArrives(driver.nextRequestId(), "k" + i % 50);
      for (PolicyDriver.InFlightAttempt attempt : driver.inFlight()) {
        if (attempt.endpointId() == 102) {
          rejected++;
          driver.attemptCompletes(attempt, AttemptStatus.REJECTED, millis(1));
        }
      }
      driver.advanceCompletingAttempts(millis(5), AttemptStatus.SERVED, millis(100));
    }
    assertTrue(rejected < 50, "of 1000 requests rejected by the endpoint: " + rejected);
  }

  @Test
  void resetsOfStaleConnectionsDoNotEjectTheEndpoint() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(3);
    long owner = driver.serveRequest("k", millis(40));
    for (int i = 0; i < 5; i++) {
      driver.requestArrives("b" + i, "k");
      driver.attemptFindsStaleConnection("b" + i);
    }
    assertEquals(owner, driver.serveRequest("k", millis(40)), "owner of the key");
  }
}
