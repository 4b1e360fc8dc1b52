package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.RequestArrived;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Admission by the latency-to-rate line, and which latencies it counts. */
class LatencyRateLimiterTest {

  private static double publishedAllowedRate(double meanMillis) {
    return new LatencyRateLimiter(300, 18_000).allowedRate(meanMillis, 240, 4);
  }

  @Test
  void allowedRateIsThePublishedLine() {
    assertEquals(240, publishedAllowedRate(0));
    assertEquals(240, publishedAllowedRate(300));
    assertEquals(177.3, publishedAllowedRate(5000), 0.1);
    assertEquals(122, publishedAllowedRate(9150), 0.001);
    assertEquals(4, publishedAllowedRate(18_000));
    assertEquals(4, publishedAllowedRate(99_000));
  }

  @Test
  void healthyFleetRejectsNothing() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    assertEquals(0, driver.rejectedFraction(500, 5, millis(40), AttemptStatus.SERVED));
  }

  @Test
  void overloadIsRejected() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    driver.rejectedFraction(300, 2, millis(40), AttemptStatus.SERVED);
    assertTrue(driver.rejectedFraction(600, 30, millis(700), AttemptStatus.SERVED) > 0.2);
  }

  /** Without quotas nobody else relieves a fleet that has collapsed. */
  @Test
  void highLatencyIsRejectedWithoutQuotasThoughFewRequestsAreInFlight() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    driver.rejectedFraction(2000, 10, millis(40), AttemptStatus.SERVED);
    assertTrue(driver.rejectedFraction(300, 4, millis(390), AttemptStatus.SERVED) > 0.2);
  }

  @Test
  void localDelayIsNotTakenForOverload() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    for (int i = 0; i < 500; i++) {
      driver.requestArrives(driver.nextRequestId(), "k" + i % 50);
      driver.advanceCompletingAttempts(millis(8), AttemptStatus.SERVED, millis(320), millis(40));
    }
    assertEquals(List.of(), driver.rejected(), "40 ms at an endpoint, 280 ms in this balancer");
  }

  @ParameterizedTest
  @EnumSource(names = {"RESET", "ERROR"})
  void resetsAndErrorsAreNotTakenForOverload(AttemptStatus failure) {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    for (int i = 0; i < 1_000; i++) {
      driver.requestArrives(driver.nextRequestId(), "k" + i % 50);
      driver.advanceCompletingAttempts(
          millis(20), i % 10 == 9 ? failure : AttemptStatus.SERVED, millis(100));
    }
    assertEquals(
        0,
        driver.rejected("r"),
        "a tenth of the attempts fails, at a quarter of the latency objective");
  }

  /** Fast failures would pull the mean down and leave the allowed rate at its maximum. */
  @Test
  void fastErrorsCountAsCriticalLatency() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    double rejected = driver.rejectedFraction(800, 10, millis(2), AttemptStatus.ERROR);
    assertTrue(rejected > 0.3, "rejected " + rejected);
  }

  /** Counted as its class's deadline, a lost attempt would be taken for an overload. */
  @Test
  void timeoutCountsAsTheLatencyThatItsClientWaited() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    for (int i = 0; i < 1_000; i++) {
      String requestId = i % 10 == 5 ? "lost" + i : driver.nextRequestId();
      driver.handle(
          new RequestArrived(
              requestId,
              TestSettings.REQUEST_CLASS,
              null,
              "k" + i % 49,
              driver.nowNanos() + millis(450),
              0,
              false));
      driver.advance(millis(10));
      for (PolicyDriver.InFlightAttempt attempt : driver.inFlight()) {
        boolean isLost = attempt.requestId().startsWith("lost");
        long latencyNanos = driver.nowNanos() - attempt.forwardedNanos();
        if (latencyNanos >= millis(isLost ? 420 : 40)) {
          AttemptStatus status = isLost ? AttemptStatus.TIMEOUT : AttemptStatus.SERVED;
          driver.attemptCompletes(attempt, status, latencyNanos);
        }
      }
    }
    assertEquals(
        0,
        driver.rejected("r"),
        "of those served in a tenth of the latency objective; a tenth of all is lost");
  }

  /**
   * Where each window holds a request or two, the first of each must not pass for lack of samples.
   */
  @Test
  void sparseSamplesRejectByThoseOfEarlierWindows() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(20);
    int admittedLate = 0;
    for (int i = 0; i < 60; i++) {
      long endpointId =
          PolicyDriver.forwardedTo(driver.requestArrives(driver.nextRequestId(), "k" + i));
      driver.advanceCompletingAttempts(millis(700), AttemptStatus.SERVED, millis(690));
      admittedLate += i >= 20 && endpointId != PolicyDriver.NOT_FORWARDED ? 1 : 0;
    }
    assertTrue(admittedLate < 15, "admitted of the last 40 at well over maxValue: " + admittedLate);
  }

  /** Only admitted requests bring samples, so a limiter that rejects all would never recover. */
  @Test
  void limiterNeverRejectsForLongerThanAMeanTakes() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(60);
    driver.rejectedFraction(60, 2, millis(40), AttemptStatus.SERVED);
    int rejectedInARow = 0;
    int maxRejectedInARow = 0;
    for (int i = 0; i < 300; i++) {
      long endpointId =
          PolicyDriver.forwardedTo(driver.requestArrives(driver.nextRequestId(), "k" + i % 50));
      rejectedInARow = endpointId == PolicyDriver.NOT_FORWARDED ? rejectedInARow + 1 : 0;
      maxRejectedInARow = Math.max(maxRejectedInARow, rejectedInARow);
      driver.advanceCompletingAttempts(millis(100), AttemptStatus.SERVED, millis(900));
    }
    assertTrue(
        maxRejectedInARow >= 5, "well over maxValue: rejected in a row " + maxRejectedInARow);
    assertTrue(
        maxRejectedInARow < 15, "rejected without an attempt in between: " + maxRejectedInARow);
  }
}
