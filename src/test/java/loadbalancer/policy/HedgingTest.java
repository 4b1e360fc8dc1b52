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

/** Tests the detection of unresponsive endpoints and the hedging of their requests. */
class HedgingTest {

  /** A frozen endpoint must be detected and avoided before its first attempt times out. */
  @Test
  void requestAtUnresponsiveEndpointIsHedgedOnceAndEndpointIsAvoided() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(4);
    serveSteadyTraffic(driver);
    long frozenEndpointId = driver.serveRequest("k1", millis(10));
    String requestId = driver.nextRequestId();
    assertEquals(
        frozenEndpointId, PolicyDriver.forwardedTo(driver.requestArrives(requestId, "k1")));

    List<ForwardAttempt> hedges =
        PolicyDriver.actionsOf(ForwardAttempt.class, driver.advance(millis(200)));

    assertEquals(1, hedges.size(), "number of hedges");
    assertEquals(requestId, hedges.get(0).requestId());
    assertNotEquals(frozenEndpointId, hedges.get(0).endpointId());
    assertNotEquals(frozenEndpointId, driver.serveRequest("k1", millis(10)));
    List<Action> actions =
        driver.attemptCompletes(
            requestId, hedges.get(0).endpointId(), AttemptStatus.SERVED, millis(10));
    assertTrue(
        PolicyDriver.contains(actions, CancelAttempt.class), "the other attempt is cancelled");
  }

  /**
   * A hedge after the deadline is wasted work, even before the latency objective has passed: a
   * client may wait for less time than the objective.
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
  void localDelayDoesNotMakeEndpointUnresponsive() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(2);
    for (int round = 0; round < 20; round++) {
      for (int i = 0; i < 12; i++) {
        driver.requestArrives(driver.nextRequestId(), "k" + i);
      }
      driver.advanceCompletingAttempts(millis(260), AttemptStatus.SERVED, millis(250), millis(40));
    }
    long hedged = driver.requestsWithSeveralAttempts();
    // The local delay is unknown until the 12 requests of the first round are served.
    assertTrue(hedged <= 12, "hedged requests: " + hedged);
  }

  private static void serveSteadyTraffic(PolicyDriver driver) {
    for (int i = 0; i < 400; i++) {
      driver.serveRequest("k" + i % 40, millis(10));
    }
  }
}
