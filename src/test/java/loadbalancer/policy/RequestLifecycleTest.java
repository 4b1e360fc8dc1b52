package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.CancelAttempt;
import loadbalancer.policy.action.FailRequest;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.RejectRequest;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.ClientDisconnected;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.event.ResponseStarted;
import loadbalancer.policy.event.TimerFired;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.RequestEffect;
import org.junit.jupiter.api.Test;

/** Tests the path of a request from its arrival to its only final response. */
class RequestLifecycleTest {

  @Test
  void requestIsRejectedWhenThereIsNoEndpoint() {
    PolicyDriver driver = new PolicyDriver(TestSettings.defaults());
    driver.updateEndpoints(EndpointListUpdate.Kind.CACHED);
    assertTrue(
        driver.requestArrives("r", "k").stream()
            .noneMatch(action -> action instanceof ForwardAttempt));
    assertTrue(PolicyDriver.contains(driver.advance(millis(2000)), RejectRequest.class));
  }

  /** The proxy may never report a time-out; the final response is still due within the slack. */
  @Test
  void requestFailsAfterItsDeadlineEvenIfItsAttemptNeverCompletes() {
    PolicyDriver driver =
        PolicyDriver.withReadyEndpoints(
            new TestSettings()
                .requests(RequestEffect.NOT_IDEMPOTENT, DeduplicationScope.ALL)
                .build(),
            1);
    driver.requestArrives("r", "k");
    driver.advance(millis(2000));
    assertTrue(PolicyDriver.contains(driver.advance(millis(16)), FailRequest.class));
  }

  @Test
  void requestHasNoDeadlineAfterItsStreamedResponseStarted() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(1);
    driver.requestArrives("r", "k");
    driver.handle(new ResponseStarted("r", 0, 100, millis(1)));
    List<Action> actions = driver.advance(millis(5000));
    assertTrue(
        actions.stream()
            .noneMatch(
                action ->
                    action instanceof FailRequest
                        || action instanceof RejectRequest
                        || action instanceof ForwardAttempt));
  }

  @Test
  void queuedRequestIsNotForwardedAfterItsClientDisconnects() {
    PolicyDriver driver = new PolicyDriver(TestSettings.defaults());
    driver.updateEndpoints(EndpointListUpdate.Kind.CACHED);
    driver.requestArrives("queued", "k");
    driver.handle(new ClientDisconnected("queued"));
    List<Action> actions =
        driver.updateEndpoints(
            EndpointListUpdate.Kind.FULL, TestEndpoints.ready(100), TestEndpoints.ready(101));
    actions.addAll(driver.advance(millis(3000)));
    assertEquals(PolicyDriver.NOT_FORWARDED, PolicyDriver.forwardedTo(actions));
  }

  @Test
  void attemptIsCancelledAndNotRetriedAfterItsClientDisconnects() {
    PolicyDriver driver = PolicyDriver.withReadyEndpoints(2);
    long endpointId = PolicyDriver.forwardedTo(driver.requestArrives("r", "k"));
    assertTrue(
        PolicyDriver.contains(driver.handle(new ClientDisconnected("r")), CancelAttempt.class));
    List<Action> actions =
        driver.attemptCompletes("r", endpointId, AttemptStatus.REJECTED, millis(1));
    actions.addAll(driver.advance(millis(3000)));
    assertEquals(PolicyDriver.NOT_FORWARDED, PolicyDriver.forwardedTo(actions));
  }

  /**
   * Events may refer to unknown requests and timers, requests may arrive before any endpoint list,
   * and lists may be empty or contain no ready endpoint.
   */
  @Test
  void eventsWithUnknownIdsAndListsWithoutReadyEndpointsAreAccepted() {
    PolicyDriver driver = new PolicyDriver(TestSettings.defaults());
    assertEquals(
        PolicyDriver.NOT_FORWARDED,
        PolicyDriver.forwardedTo(driver.requestArrives("early", "k")),
        "forwarded before the first endpoint list");
    driver.updateEndpoints(EndpointListUpdate.Kind.FAILED);
    driver.updateEndpoints(EndpointListUpdate.Kind.CACHED);
    driver.updateEndpoints(EndpointListUpdate.Kind.FULL, TestEndpoints.draining(1));
    assertEquals(
        PolicyDriver.NOT_FORWARDED, PolicyDriver.forwardedTo(driver.requestArrives("r0", null)));
    driver.handle(new ClientDisconnected("unknown"));
    driver.handle(new TimerFired("unknown"));
    driver.handle(new ResponseStarted("unknown", 0, 9, 1));
    driver.handle(new AttemptCompleted("unknown", 3, 9, AttemptStatus.SERVED, 1, true, Map.of()));
    driver.updateEndpoints(EndpointListUpdate.Kind.DELTA, TestEndpoints.ready(2));
    assertEquals(2, PolicyDriver.forwardedTo(driver.requestArrives("r1", null)));
    RequestArrived requestOfUnknownClass =
        new RequestArrived("r2", "unknown", null, null, driver.nowNanos() + millis(2000), 0, false);
    assertTrue(PolicyDriver.contains(driver.handle(requestOfUnknownClass), RejectRequest.class));
  }
}
