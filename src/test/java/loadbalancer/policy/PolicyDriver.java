package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.RejectRequest;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.event.TimerFired;
import loadbalancer.policy.settings.PolicySettings;

/**
 * Drives one policy by hand: gives it events on a clock of its own, fires its timers as time
 * passes, and keeps a record of its attempts in flight and its rejections.
 */
final class PolicyDriver {

  /** In the place of an endpoint id: the request was not forwarded. */
  static final long NOT_FORWARDED = -1;

  private static final long SEED = 7;
  private static final long FIRST_ENDPOINT_ID = 100;
  private static final long STEP_NANOS = millis(5);

  /** An attempt that has not completed. */
  record InFlightAttempt(String requestId, int attempt, long endpointId, long forwardedNanos) {}

  private final AdaptiveLoadBalancingPolicy policy;
  private final List<Long> timers = new ArrayList<>();
  private final List<InFlightAttempt> inFlight = new ArrayList<>();
  private final List<String> rejected = new ArrayList<>();
  private final Map<String, Integer> attemptsByRequest = new HashMap<>();
  private long nowNanos = millis(1_000_000);
  private int requests;

  /** Makes a policy that has no endpoint list yet. */
  PolicyDriver(PolicySettings settings) {
    policy = new AdaptiveLoadBalancingPolicy(settings, SEED);
  }

  /** A policy of the default settings that knows so many ready endpoints, with ids from 100. */
  static PolicyDriver withReadyEndpoints(int count) {
    return withReadyEndpoints(TestSettings.defaults(), count);
  }

  /** A policy of these settings that knows so many ready endpoints, with ids from 100. */
  static PolicyDriver withReadyEndpoints(PolicySettings settings, int count) {
    EndpointDescriptor[] endpoints = new EndpointDescriptor[count];
    for (int i = 0; i < count; i++) {
      endpoints[i] = TestEndpoints.ready(FIRST_ENDPOINT_ID + i);
    }
    PolicyDriver driver = new PolicyDriver(settings);
    driver.updateEndpoints(EndpointListUpdate.Kind.CACHED, endpoints);
    return driver;
  }

  AdaptiveLoadBalancingPolicy policy() {
    return policy;
  }

  long nowNanos() {
    return nowNanos;
  }

  List<InFlightAttempt> inFlight() {
    return List.copyOf(inFlight);
  }

  /** The ids of the rejected requests, in the order of their rejections. */
  List<String> rejected() {
    return rejected;
  }

  /** How many requests were rejected whose id starts like this. */
  int rejected(String idPrefix) {
    return (int) rejected.stream().filter(id -> id.startsWith(idPrefix)).count();
  }

  /** How many requests had more than one attempt. */
  long requestsWithSeveralAttempts() {
    return attemptsByRequest.values().stream().filter(attempts -> attempts > 1).count();
  }

  // ---- Events, each at the present clock reading; the actions that the policy answered with

  List<Action> handle(Event event) {
    List<Action> actions = new ArrayList<>();
    policy.handle(nowNanos, event, actions::add);
    for (Action action : actions) {
      if (action instanceof SetTimer timer) {
        timers.add(timer.fireAtNanos());
      } else if (action instanceof RejectRequest rejection) {
        rejected.add(rejection.requestId());
      } else if (action instanceof ForwardAttempt forward) {
        int attempt = attemptsByRequest.merge(forward.requestId(), 1, Integer::sum) - 1;
        inFlight.add(
            new InFlightAttempt(forward.requestId(), attempt, forward.endpointId(), nowNanos));
      }
    }
    return actions;
  }

  List<Action> updateEndpoints(EndpointListUpdate.Kind kind, EndpointDescriptor... entries) {
    return handle(new EndpointListUpdate(kind, List.of(entries)));
  }

  /** An id that no other request of this driver has; it starts with r. */
  String nextRequestId() {
    return "r" + requests++;
  }

  List<Action> requestArrives(String requestId, String key) {
    return requestArrives(requestId, null, key, 0);
  }

  List<Action> requestArrives(String requestId, String tenant, String key, long workHintNanos) {
    return handle(
        new RequestArrived(
            requestId,
            TestSettings.REQUEST_CLASS,
            tenant,
            key,
            nowNanos + TestSettings.DEADLINE_NANOS,
            workHintNanos,
            false));
  }

  /** Completes the attempt that a request has in flight at an endpoint. */
  List<Action> attemptCompletes(
      String requestId, long endpointId, AttemptStatus status, long latencyNanos) {
    InFlightAttempt attempt =
        inFlight.stream()
            .filter(a -> a.requestId().equals(requestId) && a.endpointId() == endpointId)
            .findFirst()
            .orElseThrow();
    return attemptCompletes(attempt, status, latencyNanos);
  }

  List<Action> attemptCompletes(InFlightAttempt attempt, AttemptStatus status, long latencyNanos) {
    inFlight.remove(attempt);
    return handle(
        new AttemptCompleted(
            attempt.requestId(),
            attempt.attempt(),
            attempt.endpointId(),
            status,
            latencyNanos,
            status == AttemptStatus.SERVED,
            Map.of()));
  }

  /** Resets a request's attempt at once, as on a stale pooled connection; its retry is served. */
  void attemptFindsStaleConnection(String requestId) {
    InFlightAttempt attempt =
        inFlight.stream().filter(a -> a.requestId().equals(requestId)).findFirst().orElseThrow();
    inFlight.remove(attempt);
    handle(
        new AttemptCompleted(
            requestId,
            attempt.attempt(),
            attempt.endpointId(),
            AttemptStatus.RESET,
            millis(1),
            false,
            Map.of(),
            true));
    for (InFlightAttempt retry : inFlight()) {
      attemptCompletes(retry, AttemptStatus.SERVED, millis(1));
    }
  }

  // ---- Time

  /** Lets time pass, firing the timers that come due; the actions of all of them. */
  List<Action> advance(long nanos) {
    List<Action> actions = new ArrayList<>();
    long endNanos = nowNanos + nanos;
    while (true) {
      long dueNanos = timers.stream().mapToLong(t -> t).min().orElse(Long.MAX_VALUE);
      if (dueNanos > endNanos) {
        break;
      }
      timers.remove(dueNanos);
      nowNanos = Math.max(nowNanos, dueNanos);
      actions.addAll(fireTimer());
    }
    nowNanos = endNanos;
    return actions;
  }

  /** Fires the last timer so much before it is due, as a coarse event loop may, and no other. */
  List<Action> fireLastTimerEarly(long earlyNanos) {
    nowNanos = timers.stream().mapToLong(t -> t).max().orElseThrow() - earlyNanos;
    timers.clear();
    return fireTimer();
  }

  private List<Action> fireTimer() {
    return handle(new TimerFired("sweep"));
  }

  // ---- Traffic

  /** Lets time pass with endpoints that complete every attempt after the latency. */
  void advanceCompletingAttempts(long nanos, AttemptStatus status, long latencyNanos) {
    advanceCompletingAttempts(nanos, status, latencyNanos, Long.MAX_VALUE);
  }

  /**
   * Lets time pass with attempts that complete after so long in flight, of which this much at most
   * is latency of the endpoint; the rest is local delay.
   */
  void advanceCompletingAttempts(
      long nanos, AttemptStatus status, long inFlightNanos, long maxLatencyNanos) {
    long endNanos = nowNanos + nanos;
    while (nowNanos < endNanos) {
      advance(Math.min(STEP_NANOS, endNanos - nowNanos));
      for (InFlightAttempt attempt : inFlight()) {
        long elapsedNanos = nowNanos - attempt.forwardedNanos();
        if (elapsedNanos >= inFlightNanos && inFlight.contains(attempt)) {
          attemptCompletes(attempt, status, Math.min(maxLatencyNanos, elapsedNanos));
        }
      }
    }
  }

  /**
   * Has one request of a key arrive and served after the latency; the endpoint that it was
   * forwarded to, or {@link #NOT_FORWARDED}.
   */
  long serveRequest(String key, long latencyNanos) {
    return serveRequest(key, 0, latencyNanos);
  }

  /** The same for a request that hints at its work. */
  long serveRequest(String key, long workHintNanos, long latencyNanos) {
    String requestId = nextRequestId();
    long endpointId = forwardedTo(requestArrives(requestId, null, key, workHintNanos));
    if (endpointId != NOT_FORWARDED) {
      advance(latencyNanos);
      attemptCompletes(requestId, endpointId, AttemptStatus.SERVED, latencyNanos);
    }
    return endpointId;
  }

  /**
   * Offers requests at the rate that keeps so many in flight at this latency, all ended with the
   * status; the fraction of them that was rejected.
   */
  double rejectedFraction(int offered, int concurrency, long latencyNanos, AttemptStatus status) {
    return rejectedFraction(null, offered, concurrency, latencyNanos, status);
  }

  /** The same for a tenant's requests. */
  double rejectedFraction(
      String tenant, int offered, int concurrency, long latencyNanos, AttemptStatus status) {
    int rejectedBefore = rejected("r");
    for (int i = 0; i < offered; i++) {
      requestArrives(nextRequestId(), tenant, "k" + i % 50, 0);
      advanceCompletingAttempts(latencyNanos / concurrency, status, latencyNanos);
    }
    return (rejected("r") - rejectedBefore) / (double) offered;
  }

  // ---- Actions

  /** The endpoint of the first attempt among the actions, or {@link #NOT_FORWARDED}. */
  static long forwardedTo(List<Action> actions) {
    return actionsOf(ForwardAttempt.class, actions).stream()
        .mapToLong(ForwardAttempt::endpointId)
        .findFirst()
        .orElse(NOT_FORWARDED);
  }

  static boolean contains(List<Action> actions, Class<? extends Action> kind) {
    return !actionsOf(kind, actions).isEmpty();
  }

  /** The actions of one kind. */
  static <T extends Action> List<T> actionsOf(Class<T> kind, List<Action> actions) {
    return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
  }
}
