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
 * Drives one policy in tests: passes events to it on a simulated clock, fires its timers as time
 * advances, and records its attempts in flight and its rejections.
 */
final class PolicyDriver {

  /** Returned in place of an endpoint id if the request was not forwarded. */
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
  private int requestCount;

  /** Creates a driver whose policy has no endpoint list yet. */
  PolicyDriver(PolicySettings settings) {
    policy = new AdaptiveLoadBalancingPolicy(settings, SEED);
  }

  /** Creates a driver with default settings and {@code count} ready endpoints with ids from 100. */
  static PolicyDriver withReadyEndpoints(int count) {
    return withReadyEndpoints(TestSettings.defaults(), count);
  }

  /** Creates a driver with these settings and {@code count} ready endpoints with ids from 100. */
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

  /** Returns the ids of the rejected requests in order of rejection. */
  List<String> rejected() {
    return rejected;
  }

  /** Returns the number of rejected requests whose id has the prefix. */
  int rejected(String idPrefix) {
    return (int) rejected.stream().filter(id -> id.startsWith(idPrefix)).count();
  }

  /** Returns the number of requests that had more than one attempt. */
  long requestsWithSeveralAttempts() {
    return attemptsByRequest.values().stream().filter(attempts -> attempts > 1).count();
  }

  // ---- Events at the current clock reading; each method returns the resulting actions

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

  /** Returns an unused request id with the prefix {@code r}. */
  String nextRequestId() {
    return "r" + requestCount++;
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

  /** Completes the request's attempt in flight at the endpoint. */
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

  /**
   * Completes a request's attempt as reset on a stale pooled connection, then serves all attempts
   * in flight, including its retry.
   */
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

  /** Advances the clock, fires the timers that become due and returns the resulting actions. */
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

  /**
   * Moves the clock to {@code earlyNanos} before the latest timer is due, fires that timer and
   * drops all others. An event loop with coarse timers may fire this early.
   */
  List<Action> fireLastTimerEarly(long earlyNanos) {
    nowNanos = timers.stream().mapToLong(t -> t).max().orElseThrow() - earlyNanos;
    timers.clear();
    return fireTimer();
  }

  private List<Action> fireTimer() {
    return handle(new TimerFired("sweep"));
  }

  // ---- Traffic

  /** Advances the clock while endpoints complete every attempt after the latency. */
  void advanceCompletingAttempts(long nanos, AttemptStatus status, long latencyNanos) {
    advanceCompletingAttempts(nanos, status, latencyNanos, Long.MAX_VALUE);
  }

  /**
   * Advances the clock and completes every attempt once it has been in flight for {@code
   * inFlightNanos}. At most {@code maxLatencyNanos} of that time is reported as the endpoint's
   * latency; the rest is local delay.
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
   * Sends a request with the key, serves it after the latency if it was forwarded, and returns its
   * endpoint or {@link #NOT_FORWARDED}.
   */
  long serveRequest(String key, long latencyNanos) {
    return serveRequest(key, 0, latencyNanos);
  }

  /** Like {@link #serveRequest(String, long)}, for a request with a work hint. */
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
   * Offers requests at the rate that keeps {@code concurrency} attempts in flight at this latency,
   * completes all attempts with the status and returns the fraction of rejected requests.
   */
  double rejectedFraction(int offered, int concurrency, long latencyNanos, AttemptStatus status) {
    return rejectedFraction(null, offered, concurrency, latencyNanos, status);
  }

  /** Like {@link #rejectedFraction(int, int, long, AttemptStatus)}, for a tenant's requests. */
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

  /** Returns the endpoint of the first forwarded attempt, or {@link #NOT_FORWARDED}. */
  static long forwardedTo(List<Action> actions) {
    return actionsOf(ForwardAttempt.class, actions).stream()
        .mapToLong(ForwardAttempt::endpointId)
        .findFirst()
        .orElse(NOT_FORWARDED);
  }

  static boolean contains(List<Action> actions, Class<? extends Action> kind) {
    return !actionsOf(kind, actions).isEmpty();
  }

  /** Returns the actions of one kind in order. */
  static <T extends Action> List<T> actionsOf(Class<T> kind, List<Action> actions) {
    return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
  }
}
