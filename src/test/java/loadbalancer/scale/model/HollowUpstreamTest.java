package loadbalancer.scale.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.scale.config.UpstreamSettings;
import org.junit.jupiter.api.Test;

class HollowUpstreamTest {

  private static final long SECOND = 1_000_000_000L;

  /** Serves 20 requests per second, without variation: two at once, each for 100 ms. */
  private static final UpstreamSettings SETTINGS =
      new UpstreamSettings(1, 2, 1, 100, 0, 0, 0.2, 10, 2, 500);

  private final HollowUpstream upstream = new HollowUpstream(SETTINGS, 0, "a", 1);

  private void assertAnswer(long atNanos, long answerNanos, AttemptStatus status) {
    assertEquals(new UpstreamResponse(answerNanos, status), upstream.attemptArrives(atNanos));
  }

  @Test
  void servesTwoAtOnceQueuesOneAndRejectsOthers() {
    assertAnswer(0, SECOND / 10, AttemptStatus.SERVED);
    assertAnswer(0, SECOND / 10, AttemptStatus.SERVED);
    assertAnswer(0, SECOND / 5, AttemptStatus.SERVED);
    assertAnswer(0, SECOND / 1000, AttemptStatus.REJECTED);
    assertAnswer(SECOND / 10, SECOND / 5, AttemptStatus.SERVED);
  }

  @Test
  void refusesConnectionsWhileDownAndWarmsUpLinearly() {
    upstream.stop();
    assertAnswer(SECOND, SECOND + SECOND / 1000, AttemptStatus.CONNECT_FAILED);
    upstream.start(2 * SECOND);
    assertEquals(2 * SECOND, upstream.descriptor(EndpointStatus.READY).startedNanos());
    assertAnswer(2 * SECOND, 2 * SECOND + SECOND / 2, AttemptStatus.SERVED);
    assertEquals(0.6, upstream.capacityFraction(7 * SECOND), 1e-9);
    assertEquals(1, upstream.capacityFraction(13 * SECOND));
    assertEquals(List.of(2 * SECOND), upstream.arrivalsSinceRestart());
  }

  @Test
  void budgetGrowsWithTheCapacityAndCountsSlidingWindows() {
    OverloadBudget budget = new OverloadBudget(SETTINGS);
    assertEquals(4, budget.attemptsAllowed(0), 1e-9);
    assertEquals(20, budget.attemptsAllowed(10 * SECOND), 1e-9);
    List<Long> ages = LongStream.of(0, 1, 2, 3, 4, SECOND / 2, 20 * SECOND).boxed().toList();
    OverloadBudget.Usage usage = budget.usage(ages);
    assertEquals(5 / 4.0, usage.highestRatio(), 1e-6);
    assertEquals(6, usage.windows());
    assertEquals(2, usage.exceeded());
  }
}
