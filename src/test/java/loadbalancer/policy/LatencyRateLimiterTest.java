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

/** The latency-based rate limiter, and the latency samples that admission passes to it. */
class LatencyRateLimiterTest {

  private static double exampleAllowedRate(double meanMillis) {
    return new LatencyRateLimiter(300, 18_000).allowedRate(meanMillis, 240, 4);
  }

  @Test
  void allowedRateMatchesPublishedExample() {
    assertEquals(240, exampleAllowedRate(0));
    assertEquals(240, exampleAllowedRate(300));
    assertEquals(177.3, exampleAllowedRate(5000), 0.1);
    assertEquals(122, exampleAllowedRate(9150), 0.001);
    assertEquals(4, exampleAllowedRate(18_000));
    assertEquals(4, exampleAllowedRate(99_000));
  }

  @Test
  void healthyFleetRejectsNothing() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    assertEquals(0, driver.rejectedFraction(500, 5, millis(40), AttemptStatus.SERVED));
  }

  @Test
  void overloadCausesRejections() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    driver.rejectedFraction(300, 2, millis(40), AttemptStatus.SERVED);
    assertTrue(driver.rejectedFraction(600, 30, millis(700), AttemptStatus.SERVED) > 0.2);
  }

  /** Without quotas, only rejecting requests relieves a fleet that has collapsed. */
  @Test
  void withoutQuotasHighLatencyCausesRejectionsEvenWithFewRequestsInFlight() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    driver.rejectedFraction(2000, 10, millis(40), AttemptStatus.SERVED);
    assertTrue(driver.rejectedFraction(300, 4, millis(390), AttemptStatus.SERVED) > 0.2);
  }

  @Test
  void localDelayCausesNoRejections() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    for (int i = 0; i < 500; i++) {
      driver.requestArrives(driver.nextRequestId(), "k" + i % 50);
      driver.advanceCompletingAttempts(millis(8), AttemptStatus.SERVED, millis(320), millis(40));
    }
    assertEquals(List.of(), driver.rejected(), "40 ms at the endpoint and 280 ms in this balancer");
  }

  @ParameterizedTest
  @EnumSource(names = {"RESET", "ERROR"})
  void fewResetsOrErrorsCauseNoRejections(AttemptStatus failure) {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    for (int i = 0; i < 1_000; i++) {
      driver.requestArrives(driver.nextRequestId(), "k" + i % 50);
      driver.advanceCompletingAttempts(
          millis(20), i % 10 == 9 ? failure : AttemptStatus.SERVED, millis(100));
    }
    assertEquals(
        0,
        driver.rejected("r"),
        "a tenth of the attempts fails after a quarter of the latency objective");
  }

  /** Counted with their real latency, fast errors would lower the mean and prevent rejections. */
  @Test
  void fastErrorsCountAsCriticalLatency() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(5);
    double rejected = driver.rejectedFraction(800, 10, millis(2), AttemptStatus.ERROR);
    assertTrue(rejected > 0.3, "rejected " + rejected);
  }

  /** Counted with the class's deadline, a few lost attempts would look like an overload. */
  @Test
  void timeoutCountsWithTheTimeThatTheClientAllowed() {
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
        "rejections of requests that take a tenth of the latency objective; a tenth of all is"
            + " lost");
  }

  /**
   * With one or two requests per window, the first of each must not be admitted for lack of
   * samples.
   */
  @Test
  void sparseTrafficIsRejectedBySamplesOfEarlierWindows() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(20);
    int admittedOfLast40 = 0;
    for (int i = 0; i < 60; i++) {
      long endpointId =
          PolicyDriver.forwardedTo(driver.requestArrives(driver.nextRequestId(), "k" + i));
      driver.advanceCompletingAttempts(millis(700), AttemptStatus.SERVED, millis(690));
      admittedOfLast40 += i >= 20 && endpointId != PolicyDriver.NOT_FORWARDED ? 1 : 0;
    }
    assertTrue(
        admittedOfLast40 < 15,
        "admitted of the last 40 at well over the critical latency: " + admittedOfLast40);
  }

  /** Only admitted requests yield samples, so a limiter that rejects all would never recover. */
  @Test
  void consecutiveRejectionsAreBounded() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(60);
    driver.rejectedFraction(60, 2, millis(40), AttemptStatus.SERVED);
    int consecutiveRejections = 0;
    int maxConsecutiveRejections = 0;
    for (int i = 0; i < 300; i++) {
      long endpointId =
          PolicyDriver.forwardedTo(driver.requestArrives(driver.nextRequestId(), "k" + i % 50));
      consecutiveRejections =
          endpointId == PolicyDriver.NOT_FORWARDED ? consecutiveRejections + 1 : 0;
      maxConsecutiveRejections = Math.max(maxConsecutiveRejections, consecutiveRejections);
      driver.advanceCompletingAttempts(millis(100), AttemptStatus.SERVED, millis(900));
    }
    assertTrue(
        maxConsecutiveRejections >= 5,
        "rejected in a row at well over the critical latency: " + maxConsecutiveRejections);
    assertTrue(
        maxConsecutiveRejections < 15,
        "rejected in a row, without a new sample: " + maxConsecutiveRejections);
  }
}
