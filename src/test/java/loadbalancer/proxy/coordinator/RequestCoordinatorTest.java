package loadbalancer.proxy.coordinator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.policy.action.FetchEndpoints;
import loadbalancer.policy.action.RejectRequest;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.event.TimerFired;
import loadbalancer.proxy.FakeHttpServer;
import loadbalancer.proxy.TestProxy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that each request gets one final response, even if the policy makes no decision or fails.
 */
class RequestCoordinatorTest {

  private final TestCoordinator coordinator = new TestCoordinator();

  @AfterEach
  void stop() {
    coordinator.close();
  }

  @Test
  void undecidedRequestIsRejectedAtDeadline() throws Exception {
    coordinator.start((event, actions) -> {});
    coordinator.accept("1", "order", 200);
    assertEquals("rejected", coordinator.nextResponse(), "no attempt was made");
    // The finished request was removed, so that its identifier can be used again.
    coordinator.accept("1", "order", 200);
  }

  @Test
  void requestThatMayHaveRunFailsAtDeadline() throws Exception {
    try (FakeHttpServer upstream = new FakeHttpServer((request, connection, output) -> {})) {
      coordinator.start(TestCoordinator::forwardOnArrival, upstream);
      coordinator.accept("1", "order", 1_000);
      assertEquals("failed", coordinator.nextResponse());
    }
  }

  @Test
  void lateResponseIsReportedToPolicyButNotSentToClient() throws Exception {
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, output) -> {
              TestProxy.waitUntil(() -> !coordinator.responses.isEmpty());
              FakeHttpServer.write(output, FakeHttpServer.okResponse("late"));
            })) {
      coordinator.start(
          (event, actions) -> {
            TestCoordinator.forwardOnArrival(event, actions);
            if (event instanceof RequestArrived arrival) {
              long fireAtNanos = System.currentTimeMillis() * 1_000_000 + 200_000_000;
              actions.accept(new SetTimer(arrival.requestId(), fireAtNanos));
            } else if (event instanceof TimerFired timer) {
              actions.accept(new RejectRequest(timer.timerId(), 0));
            }
          },
          upstream);
      coordinator.accept("1", "look", 15_000);
      AttemptCompleted lateAttempt = coordinator.nextCompletedAttempt();
      assertEquals(AttemptStatus.SERVED, lateAttempt.status());
      assertTrue(lateAttempt.requestCompleted());
      assertEquals("rejected", coordinator.nextResponse());
      assertTrue(coordinator.responses.isEmpty());
      // The finished request was removed, so that its identifier can be used again.
      coordinator.accept("1", "look", 15_000);
    }
  }

  @Test
  void cappedDeadlineCompletesOpenRequest() throws Exception {
    coordinator.start((event, actions) -> {});
    coordinator.accept("1", "look", 600_000);
    coordinator.onLoop(() -> coordinator.capDeadlines(100_000_000L));
    assertEquals("rejected", coordinator.nextResponse());
  }

  @Test
  void policyExceptionCompletesAllOpenRequests() throws Exception {
    coordinator.start(
        (event, actions) -> {
          if (event instanceof RequestArrived arrival && arrival.requestId().equals("2")) {
            throw new IllegalStateException("defect");
          }
        });
    coordinator.accept("1", "look", 15_000);
    coordinator.accept("2", "look", 15_000);
    assertEquals("rejected", coordinator.nextResponse());
    assertEquals("rejected", coordinator.nextResponse());
    assertEquals("defect", coordinator.nextDefect().getMessage());
  }

  @Test
  void unsupportedActionIsNamedInPolicyDefect() throws Exception {
    coordinator.start(
        (event, actions) -> {
          if (event instanceof RequestArrived) {
            actions.accept(new FetchEndpoints());
          }
        });
    coordinator.accept("1", "look", 15_000);
    assertTrue(coordinator.nextDefect().getMessage().contains("FetchEndpoints"));
  }
}
