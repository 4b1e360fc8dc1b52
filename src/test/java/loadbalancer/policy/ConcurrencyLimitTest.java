package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.policy.action.RejectRequest;
import loadbalancer.policy.event.AttemptStatus;
import org.junit.jupiter.api.Test;

/** How many requests an endpoint gets at once, and what happens to those over the limit. */
class ConcurrencyLimitTest {

  /** Requests wait in the balancer, by priority weight, rather than in the endpoint's own queue. */
  @Test
  void requestsOverTheConcurrencyLimitAreQueuedAndRejectedEarly() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(1);
    for (int i = 0; i < 200; i++) {
      driver.serveRequest("k" + i % 10, millis(20));
    }
    int forwarded = countForwarded(driver, 60, 0);
    assertTrue(forwarded >= 2 && forwarded <= 12, "forwarded at once: " + forwarded);
    int rejected = PolicyDriver.actionsOf(RejectRequest.class, driver.advance(millis(170))).size();
    assertTrue(rejected > 30, "rejected within 0.43 of the latency objective: " + rejected);
  }

  /** By a plain count of requests, an endpoint filled by a few heavy ones would seem half empty. */
  @Test
  void requestsHintedAsHeavyTakeMoreOfTheConcurrencyLimit() {
    int light = forwardedAtOnce(millis(20));
    int heavy = forwardedAtOnce(millis(80));
    assertTrue(
        light >= 4 && heavy <= light / 2, "forwarded at once: light " + light + ", heavy " + heavy);
  }

  private static int forwardedAtOnce(long workHintNanos) {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(1);
    for (int i = 0; i < 500; i++) {
      driver.requestArrives(driver.nextRequestId(), null, "k" + i % 10, millis(20));
      driver.advanceCompletingAttempts(millis(20), AttemptStatus.SERVED, millis(20));
    }
    return countForwarded(driver, 30, workHintNanos);
  }

  private static int countForwarded(PolicyDriver driver, int requests, long workHintNanos) {
    int forwarded = 0;
    for (int i = 0; i < requests; i++) {
      long endpointId =
          PolicyDriver.forwardedTo(
              driver.requestArrives(driver.nextRequestId(), null, "k" + i, workHintNanos));
      forwarded += endpointId != PolicyDriver.NOT_FORWARDED ? 1 : 0;
    }
    return forwarded;
  }
}
