package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import loadbalancer.policy.ServiceRulesObserver.ObservedAttempt;
import loadbalancer.policy.ServiceRulesObserver.ObservedRequest;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.ClientDisconnected;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.event.TimerFired;
import loadbalancer.policy.settings.Costs;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.Limits;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;
import loadbalancer.policy.settings.ServiceRules;
import loadbalancer.policy.settings.Tenant;
import loadbalancer.policy.settings.WeightKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Passes random valid events to policies with random settings and checks that the service's rules
 * hold and that the policy releases its state when traffic stops.
 */
class RandomEventsTest {

  private static final int ROUNDS_WITH_TRAFFIC = 3000;
  private static final int ROUNDS_WITHOUT_TRAFFIC = 300;
  private static final int INITIAL_ENDPOINTS = 8;
  private static final int ENDPOINTS = 12;

  private final List<Long> timers = new ArrayList<>();
  private SplittableRandom random;
  private PolicySettings settings;
  private AdaptiveLoadBalancingPolicy policy;
  private ServiceRulesObserver observer;
  private long nowNanos = millis(5_000_000);
  private int arrivedRequests;

  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24
      })
  void serviceRulesHoldAndStateIsReleasedWhenTrafficStops(long seed) {
    random = new SplittableRandom(seed);
    settings = randomSettings();
    policy = new AdaptiveLoadBalancingPolicy(settings, seed);
    observer = new ServiceRulesObserver(settings);
    for (int endpointId = 0; endpointId < INITIAL_ENDPOINTS; endpointId++) {
      changeEndpoint(endpointId);
    }
    handle(new EndpointListUpdate(EndpointListUpdate.Kind.CACHED, observer.endpoints()));

    for (int round = 0; round < ROUNDS_WITH_TRAFFIC; round++) {
      nowNanos += millis(random.nextLong(6));
      fireDueTimers();
      updateEndpointList();
      requestsArrive();
      attemptsComplete(40);
    }
    for (int round = 0; round < ROUNDS_WITHOUT_TRAFFIC; round++) {
      nowNanos += millis(5);
      fireDueTimers();
      attemptsComplete(100);
    }

    observer.checkAllCompleted();
    checkStateIsReleased();
  }

  private void checkStateIsReleased() {
    int idleTimers = timers.size();
    nowNanos += millis(60_000);
    fireDueTimers();
    assertTrue(
        timers.size() <= 1 && idleTimers <= 2,
        "timers after traffic stopped: " + idleTimers + ", a minute later: " + timers.size());
    assertEquals(0, policy.pendingRequests(), "pending requests");
    assertEquals(0, policy.queuedRequests(), "queued requests");
  }

  // ---- Settings

  private PolicySettings randomSettings() {
    List<RequestClass> requestClasses = new ArrayList<>();
    for (RequestEffect effect : RequestEffect.values()) {
      for (DeduplicationScope scope : DeduplicationScope.values()) {
        requestClasses.add(randomRequestClass(effect, scope));
      }
    }
    return new PolicySettings(
        /* instanceIndex= */ 0,
        /* groupSize= */ 1 + random.nextInt(3),
        "z0",
        requestClasses,
        List.of(new Tenant("t", /* capacityShare= */ 1, random.nextInt(200))),
        randomLimits(),
        new ServiceRules(
            /* responseSlackNanos= */ millis(12),
            /* maxPollIntervalNanos= */ random.nextBoolean() ? millis(10_000) : 0,
            /* drainGraceNanos= */ 0,
            /* initialCapacityFraction= */ 0.2,
            /* warmUpNanos= */ millis(5000),
            /* overloadMultiple= */ 3,
            /* overloadWindowNanos= */ millis(2000)),
        new Costs(/* crossZone= */ 0, /* waste= */ 0, /* lateFailure= */ 0),
        /* endpointListPolled= */ random.nextBoolean(),
        WeightKind.values()[random.nextInt(4)],
        /* overQuotaWeight= */ 0.1,
        /* endpointsCacheKeys= */ true,
        /* clockResolutionNanos= */ millis(1));
  }

  private RequestClass randomRequestClass(RequestEffect effect, DeduplicationScope scope) {
    return new RequestClass(
        effect + " " + scope,
        effect,
        scope,
        /* deduplicationWindowNanos= */ millis(50 + random.nextInt(300)),
        /* latencyObjectiveNanos= */ millis(50 + random.nextInt(200)),
        /* objectiveStretch= */ 0,
        /* deadlineNanos= */ millis(700),
        /* priorityWeight= */ 1 + random.nextInt(3),
        /* lateFraction= */ 0,
        /* streamed= */ false);
  }

  private Limits randomLimits() {
    return new Limits(
        /* cancellation= */ random.nextBoolean(),
        /* healthChecks= */ false,
        /* peerMessages= */ false,
        /* hedging= */ random.nextBoolean(),
        /* retryAfter= */ true,
        /* maxRetryAfterNanos= */ millis(1000),
        /* maxAttempts= */ 1 + random.nextInt(6),
        /* maxPendingRequests= */ 40 + random.nextInt(1000),
        /* streamsPerConnection= */ 1,
        /* connectTimeoutNanos= */ millis(100),
        /* connectionIdleTimeoutNanos= */ millis(5000));
  }

  // ---- Events

  /** Occasionally sends a full or partial update with one changed endpoint, or a failed watch. */
  private void updateEndpointList() {
    if (random.nextInt(100) < 4) {
      EndpointDescriptor changed = changeEndpoint(random.nextInt(ENDPOINTS));
      handle(
          random.nextBoolean()
              ? new EndpointListUpdate(EndpointListUpdate.Kind.DELTA, List.of(changed))
              : new EndpointListUpdate(EndpointListUpdate.Kind.FULL, observer.endpoints()));
    } else if (random.nextInt(100) < 1) {
      handle(new EndpointListUpdate(EndpointListUpdate.Kind.FAILED, List.of()));
    }
  }

  /** Adds an endpoint to the list or replaces it, with a random state. */
  private EndpointDescriptor changeEndpoint(long endpointId) {
    EndpointDescriptor descriptor =
        new EndpointDescriptor(
            endpointId,
            "z" + endpointId % 2,
            (int) (endpointId / 3 * 2 + endpointId % 2),
            randomStatus(),
            random.nextInt(4) == 0 ? nowNanos : 0,
            1 + random.nextInt(4));
    observer.endpointListed(descriptor);
    return descriptor;
  }

  private EndpointStatus randomStatus() {
    if (random.nextInt(3) > 0) {
      return EndpointStatus.READY;
    }
    return random.nextBoolean() ? EndpointStatus.DRAINING : EndpointStatus.REMOVED;
  }

  private void requestsArrive() {
    for (int remaining = random.nextInt(4); remaining > 0; remaining--) {
      List<RequestClass> requestClasses = settings.requestClasses();
      RequestClass requestClass = requestClasses.get(random.nextInt(requestClasses.size()));
      long deadlineNanos = nowNanos + millis(20 + random.nextInt(600));
      String requestId = "r" + arrivedRequests++;
      observer.requestArrived(requestId, requestClass, deadlineNanos);
      handle(
          new RequestArrived(
              requestId,
              requestClass.name(),
              random.nextBoolean() ? "t" : null,
              random.nextInt(5) == 0 ? null : "k" + random.nextInt(30),
              deadlineNanos,
              0,
              false));
    }
  }

  private void fireDueTimers() {
    List<Long> due = timers.stream().filter(fireAtNanos -> fireAtNanos <= nowNanos).toList();
    timers.removeIf(fireAtNanos -> fireAtNanos <= nowNanos);
    due.forEach(fireAtNanos -> handle(new TimerFired("sweep")));
  }

  /**
   * Completes attempts: those past their request's deadline time out or are cancelled, any other
   * one completes with a probability of {@code percent / 4} percent. A few clients disconnect.
   */
  private void attemptsComplete(int percent) {
    for (ObservedRequest request : observer.requests()) {
      boolean isPastDeadline = nowNanos >= request.deadlineNanos;
      for (int i = 0; i < request.attempts.size(); i++) {
        ObservedAttempt attempt = request.attempts.get(i);
        if (attempt.isInFlight() && (isPastDeadline || random.nextInt(100) < percent / 4)) {
          observer.attemptCompleted(request, attempt, randomAttemptStatus(request, isPastDeadline));
          handle(attemptCompleted(request, i));
        }
      }
      if (!request.isCompleted() && random.nextInt(2000) == 0) {
        observer.clientDisconnected(request);
        handle(new ClientDisconnected(request.requestId));
      }
      observer.checkCompletedInTime(nowNanos, request);
    }
    observer.removeCompletedRequests();
  }

  private AttemptStatus randomAttemptStatus(ObservedRequest request, boolean isPastDeadline) {
    if (request.isCompleted() && random.nextBoolean()) {
      return AttemptStatus.CANCELLED;
    }
    if (isPastDeadline) {
      return AttemptStatus.TIMEOUT;
    }
    return random.nextInt(2) == 0
        ? AttemptStatus.SERVED
        : AttemptStatus.values()[random.nextInt(AttemptStatus.values().length)];
  }

  private AttemptCompleted attemptCompleted(ObservedRequest request, int index) {
    ObservedAttempt attempt = request.attempts.get(index);
    return new AttemptCompleted(
        request.requestId,
        index,
        attempt.endpoint.endpointId(),
        attempt.status(),
        nowNanos - attempt.forwardedNanos,
        request.isCompleted(),
        Map.of());
  }

  private void handle(Event event) {
    List<Action> actions = new ArrayList<>();
    policy.handle(nowNanos, event, actions::add);
    for (Action action : actions) {
      if (action instanceof SetTimer timer) {
        timers.add(timer.fireAtNanos());
      }
      observer.checkAction(nowNanos, action);
    }
  }
}
