package loadbalancer.scale.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.CancelAttempt;
import loadbalancer.policy.action.CheckHealth;
import loadbalancer.policy.action.FailRequest;
import loadbalancer.policy.action.FetchEndpoints;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.event.TimerFired;
import org.junit.jupiter.api.Test;

/** Runs a balancer whose policy answers the first event with given actions. */
class HollowBalancerTest implements BalancerEnvironment, BalancerObserver {

  private static final String ID = "r";

  private final Simulation simulation = new Simulation();
  private final List<Event> events = new ArrayList<>();
  private final List<String> outcomes = new ArrayList<>();
  private long answerNanos = 100;
  private int attemptsInFlight;

  private void run(Action... firstActions) {
    HollowBalancer balancer =
        new HollowBalancer(
            simulation,
            (nowNanos, event, actions) -> handle(event, actions, firstActions),
            this,
            this);
    balancer.requestArrives(new RequestArrived(ID, "c", null, null, 1000, 0, false));
    simulation.run(10_000);
    assertEquals(0, attemptsInFlight);
    assertEquals(0, balancer.pendingRequests());
  }

  private void handle(Event event, Consumer<Action> actions, Action... firstActions) {
    events.add(event);
    if (events.size() == 1) {
      List.of(firstActions).forEach(actions);
    }
  }

  private static AttemptCompleted completed(
      int attempt, AttemptStatus status, long latencyNanos, boolean isRequestCompleted) {
    return new AttemptCompleted(
        ID, attempt, 7, status, latencyNanos, isRequestCompleted, java.util.Map.of());
  }

  @Test
  void firstServedAttemptEndsTheRequest() {
    run(new ForwardAttempt(ID, 7, 0), new ForwardAttempt(ID, 7, 0));
    assertEquals(
        List.of(
            completed(0, AttemptStatus.SERVED, 100, true),
            completed(1, AttemptStatus.SERVED, 100, true)),
        events.subList(1, 3));
    assertEquals(List.of("SERVED after 100"), outcomes);
  }

  @Test
  void attemptTimesOutOrIsCancelledAndCompletesOnce() {
    answerNanos = 500;
    run(
        new ForwardAttempt(ID, 7, 200),
        new ForwardAttempt(ID, 7, 0),
        new CancelAttempt(ID, 1),
        new FailRequest(ID));
    assertEquals(
        List.of(
            completed(1, AttemptStatus.CANCELLED, 0, true),
            completed(0, AttemptStatus.TIMEOUT, 200, true)),
        events.subList(1, events.size()));
    assertEquals(List.of("FAILED after 0"), outcomes);
  }

  @Test
  void timersFireOnceAndFetchesAreAnswered() {
    run(new SetTimer("t", 50), new FetchEndpoints(), new FailRequest(ID));
    assertEquals(
        List.of(
            new EndpointListUpdate(EndpointListUpdate.Kind.FULL, List.of()), new TimerFired("t")),
        events.subList(1, events.size()));
  }

  @Test
  void refusesActionsThatAreNotModelledAndSecondResponses() {
    assertThrows(IllegalStateException.class, () -> run(new CheckHealth(7)));
    events.clear();
    assertThrows(IllegalStateException.class, () -> run(new FailRequest(ID), new FailRequest(ID)));
  }

  @Override
  public List<EndpointDescriptor> endpointList() {
    return List.of();
  }

  @Override
  public UpstreamResponse sendAttempt(long endpointId) {
    return new UpstreamResponse(simulation.nowNanos() + answerNanos, AttemptStatus.SERVED);
  }

  @Override
  public LongSupplier processorClockNanos() {
    return () -> 0;
  }

  @Override
  public void requestEnded(RequestOutcome outcome, long latencyNanos) {
    outcomes.add(outcome + " after " + latencyNanos);
  }

  @Override
  public void attemptStarted(long endpointId) {
    attemptsInFlight++;
  }

  @Override
  public void attemptCompleted(long endpointId, AttemptStatus status) {
    attemptsInFlight--;
  }
}
