package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.FailRequest;
import loadbalancer.policy.action.RejectRequest;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.RequestEffect;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests where a request may be retried after an attempt and which final response it may get, for
 * each request effect, deduplication scope and attempt status.
 */
class RetrySafetyTest {

  private static final String REQUEST_ID = "r";
  private static final long FIRST = 1;
  private static final long SAME_CELL = 2;
  private static final long SAME_ZONE = 3;
  private static final long OTHER_ZONE = 4;

  private static EndpointDescriptor endpoint(long endpointId) {
    int deduplicationCell = endpointId == SAME_CELL ? (int) FIRST : (int) endpointId;
    return TestEndpoints.readyIn(
        endpointId == OTHER_ZONE ? "b" : "a", deduplicationCell, endpointId);
  }

  /** Forwards a request to {@link #FIRST}, then adds the other endpoints to the list. */
  private static PolicyDriver firstAttemptInFlight(
      RequestEffect effect, DeduplicationScope scope, long... otherEndpointIds) {
    PolicyDriver driver = new PolicyDriver(new TestSettings().requests(effect, scope).build());
    driver.updateEndpoints(EndpointListUpdate.Kind.CACHED, endpoint(FIRST));
    driver.requestArrives(REQUEST_ID, "k");
    driver.updateEndpoints(
        EndpointListUpdate.Kind.DELTA,
        Arrays.stream(otherEndpointIds)
            .mapToObj(RetrySafetyTest::endpoint)
            .toArray(EndpointDescriptor[]::new));
    return driver;
  }

  @ParameterizedTest
  @CsvSource({
    // effect, scope, status of the first attempt, endpoints that may get a retry, final response
    // if no endpoint is left
    "IDEMPOTENT, ALL, REJECTED, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, CONNECT_FAILED, 2 3 4, RejectRequest",
    "IDEMPOTENT, ALL, ERROR, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, RESET, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, TIMEOUT, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, CANCELLED, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, NOT_SENT, 2 3 4, RejectRequest",
    "NOT_IDEMPOTENT, ALL, REJECTED, 2 3 4, RejectRequest",
    "NOT_IDEMPOTENT, ALL, CONNECT_FAILED, 2 3 4, RejectRequest",
    "NOT_IDEMPOTENT, ALL, NOT_SENT, 2 3 4, RejectRequest",
    "NOT_IDEMPOTENT, ALL, ERROR, '', FailRequest",
    "NOT_IDEMPOTENT, ALL, RESET, '', FailRequest",
    "NOT_IDEMPOTENT, ALL, TIMEOUT, '', FailRequest",
    "NOT_IDEMPOTENT, ALL, CANCELLED, '', FailRequest",
    "IDEMPOTENT_WITH_KEY, ALL, REJECTED, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, ALL, ERROR, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, ALL, RESET, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, ALL, TIMEOUT, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, ALL, CANCELLED, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, ZONE, REJECTED, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, ZONE, CONNECT_FAILED, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, ZONE, ERROR, 2 3, FailRequest",
    "IDEMPOTENT_WITH_KEY, ZONE, RESET, 2 3, FailRequest",
    "IDEMPOTENT_WITH_KEY, ZONE, TIMEOUT, 2 3, FailRequest",
    "IDEMPOTENT_WITH_KEY, ZONE, CANCELLED, 2 3, FailRequest",
    "IDEMPOTENT_WITH_KEY, CELL, REJECTED, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, CELL, NOT_SENT, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, CELL, ERROR, 2, FailRequest",
    "IDEMPOTENT_WITH_KEY, CELL, RESET, 2, FailRequest",
    "IDEMPOTENT_WITH_KEY, CELL, TIMEOUT, 2, FailRequest",
    "IDEMPOTENT_WITH_KEY, CELL, CANCELLED, 2, FailRequest"
  })
  void firstAttemptDeterminesRetryAndFinalResponse(
      RequestEffect effect,
      DeduplicationScope scope,
      AttemptStatus status,
      String retryEndpointIds,
      String finalResponse) {
    for (long endpointId : List.of(SAME_CELL, SAME_ZONE, OTHER_ZONE)) {
      PolicyDriver driver = firstAttemptInFlight(effect, scope, endpointId);
      List<Action> retry = driver.attemptCompletes(REQUEST_ID, FIRST, status, millis(1));
      assertEquals(
          retryEndpointIds.contains("" + endpointId) ? endpointId : PolicyDriver.NOT_FORWARDED,
          PolicyDriver.forwardedTo(retry),
          "retried at " + endpointId);
    }

    PolicyDriver driver = firstAttemptInFlight(effect, scope);
    driver.updateEndpoints(EndpointListUpdate.Kind.FULL);
    List<Action> actions =
        new ArrayList<>(driver.attemptCompletes(REQUEST_ID, FIRST, status, millis(1)));
    actions.addAll(driver.advance(millis(2000)));
    List<Action> finalResponses =
        actions.stream()
            .filter(action -> action instanceof RejectRequest || action instanceof FailRequest)
            .toList();
    assertEquals(1, finalResponses.size());
    assertEquals(finalResponse, finalResponses.get(0).getClass().getSimpleName());
  }

  @Test
  void requestWithIdempotencyKeyIsNotRetriedAfterItsDeduplicationWindow() {
    PolicyDriver driver =
        firstAttemptInFlight(
            RequestEffect.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL, SAME_CELL, SAME_ZONE);
    driver.advance(millis(1999));
    List<Action> actions =
        driver.attemptCompletes(REQUEST_ID, FIRST, AttemptStatus.ERROR, millis(1999));
    assertEquals(PolicyDriver.NOT_FORWARDED, PolicyDriver.forwardedTo(actions));
  }
}
