package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.CancelAttempt;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.settings.PolicySettings;
import org.junit.jupiter.api.Test;

/** Unresponsive endpoints, and the hedges of their requests. */
class HedgingTest {

  /** An endpoint that has frozen is passed over before its first attempt times out. */
  @Test
  void requestAtAnUnresponsiveEndpointIsHedgedOnceAndTheEndpointPassedOver() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(4);
    serveSteadyTraffic(driver);
    long frozen = driver.serveRequest("k1", millis(10));
    String requestId = driver.nextRequestId();
    assertEquals(frozen, PolicyDriver.forwardedTo(driver.requestArrives(requestId, "k1")));

    List<ForwardAttempt> hedges =
        PolicyDriver.actionsOf(ForwardAttempt.class, driver.advance(millis(200)));

    assertEquals(1, hedges.size(), "one hedge");
    assertEquals(requestId, hedges.get(0).requestId());
    assertNotEquals(frozen, hedges.get(0).endpointId());
    assertNotEquals(frozen, driver.serveRequest("k1", millis(10)));
    List<Action> answered =
        driver.attemptCompletes(
            requestId, hedges.get(0).endpointId(), AttemptStatus.SERVED, millis(10));
    assertTrue(PolicyDriver.contains(answered, CancelAttempt.class), "the loser is cancelled");
  }

  /**
   * Past its deadline a hedge is work for nobody, also where clients wait less than the objective.
   */
  @Test
  void requestIsNotHedgedPastItsDeadline() {
    PolicySettings settings = new TestSettings().responseSlack(millis(400)).build();
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(settings, 4);
    serveSteadyTraffic(driver);
    driver.handle(
        new RequestArrived(
            driver.nextRequestId(),
            TestSettings.REQUEST_CLASS,
            null,
            "k1",
            driver.nowNanos() + millis(100),
            0,
            false));
    assertEquals(1, driver.inFlight().size());

    List<Action> actions = driver.advance(millis(290));

    assertEquals(List.of(), PolicyDriver.actionsOf(ForwardAttempt.class, actions));
  }

  @Test
  void localDelayIsNotTakenForAnUnresponsiveEndpoint() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(2);
    for (int round = 0; round < 20; round++) {
      for (int i = 0; i < 12; i++) {
        driver.requestArrives(driver.nextRequestId(), "k" + i);
      }
      driver.advanceCompletingAttempts(millis(260), AttemptStatus.SERVED, millis(250), millis(40));
    }
    long hedged = driver.requestsWithSeveralAttempts();
    // The local delay of the first requests is not known before they are answered.
    assertTrue(hedged <= 12, "hedged requests: " + hedged);
  }

  private static void serveSteadyTraffic(PolicyDriver driver) {
    for (int i = 0; i < 400; i++) {
      driver.serveRequest("k" + i % 40, millis(10));
    }
  }
}
