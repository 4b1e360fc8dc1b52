package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.event.AttemptStatus;
import org.junit.jupiter.api.Test;

/** Tests how many retries a balancer adds to its load. */
class RetryBudgetTest {

  /** Sends a request, rejects each of its attempts and returns the number of attempts. */
  private static int attemptsOfRejectedRequest(PolicyDriver driver, String key) {
    String requestId = driver.nextRequestId();
    int attempts = 0;
    long endpointId = PolicyDriver.forwardedTo(driver.requestArrives(requestId, key));
    while (endpointId != PolicyDriver.NOT_FORWARDED) {
      attempts++;
      endpointId =
          PolicyDriver.forwardedTo(
              driver.attemptCompletes(requestId, endpointId, AttemptStatus.REJECTED, millis(1)));
    }
    return attempts;
  }

  /** Guards against a retry storm when every attempt fails. */
  @Test
  void retriesStayAFractionOfRequestsWhenEveryAttemptFails() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(12);
    int attempts = 0;
    for (int i = 0; i < 500; i++) {
      attempts += attemptsOfRejectedRequest(driver, "k" + i);
      driver.advance(millis(1));
    }
    assertTrue(attempts > 500 && attempts < 500 * 1.2 + 40, "attempts: " + attempts);
  }

  /** A fixed initial budget at each of hundreds of balancers would cause an overload by itself. */
  @Test
  void balancerWithLittleTrafficRetriesFewRequests() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(12);
    int retries = 0;
    for (int i = 0; i < 10; i++) {
      int attempts = attemptsOfRejectedRequest(driver, "k" + i);
      assertTrue(attempts >= 1, "attempts: " + attempts);
      retries += attempts - 1;
      driver.advance(millis(300));
    }
    assertTrue(retries >= 1 && retries <= 4, "retries of 10 requests: " + retries);
  }

  @Test
  void requestGetsMaxAttemptsAndNoneAfterItsFinalResponse() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(12);
    for (int i = 0; i < 50; i++) {
      driver.serveRequest("k", millis(1));
    }
    assertEquals(4, attemptsOfRejectedRequest(driver, "k"));
    assertFalse(PolicyDriver.contains(driver.advance(millis(3000)), ForwardAttempt.class));
  }
}
