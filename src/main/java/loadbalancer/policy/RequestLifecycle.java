package loadbalancer.policy;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.CancelAttempt;
import loadbalancer.policy.action.FailRequest;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.LogMessage;
import loadbalancer.policy.action.RejectRequest;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.ClientDisconnected;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.event.ResponseStarted;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestClass;

/**
 * Tracks requests from arrival to their only final response: uses the other components of the
 * policy to admit, forward, queue, retry, hedge, reject and fail them. {@link
 * AdaptiveLoadBalancingPolicy} calls it for every event of a request and for every sweep.
 */
final class RequestLifecycle {
  /** Limits the work after each completed attempt while no endpoint has capacity. */
  private static final int MAX_FAILED_PLACEMENTS = 4;

  /** A request whose deadline is closer than this is no longer forwarded. */
  private static final long MIN_TIME_TO_DEADLINE_NANOS = 20_000_000L;

  /** The number of sweeps per shortest latency objective while attempts are in flight. */
  private static final int SWEEPS_PER_OBJECTIVE = 8;

  private static final long MIN_SWEEP_DELAY_NANOS = 1_000_000L;

  private final PolicySettings settings;
  private final PolicyComponents components;
  private final SweepTimer sweepTimer;
  private final SplittableRandom random;
  private final long inFlightSweepPeriodNanos;
  private final Map<String, RequestClass> requestClasses = new HashMap<>();
  private final Map<String, PendingRequest> pendingRequests = new LinkedHashMap<>();
  private final RequestQueue queue;

  /** Creates a lifecycle without requests; {@code sweepTimer} schedules the sweeps it needs. */
  RequestLifecycle(
      PolicySettings settings,
      PolicyComponents components,
      SweepTimer sweepTimer,
      long shortestObjectiveNanos,
      SplittableRandom random) {
    this.settings = settings;
    this.components = components;
    this.sweepTimer = sweepTimer;
    this.random = random;
    for (RequestClass requestClass : settings.requestClasses()) {
      requestClasses.put(requestClass.name(), requestClass);
    }
    inFlightSweepPeriodNanos =
        Math.max(SweepTimer.QUEUE_PERIOD_NANOS, shortestObjectiveNanos / SWEEPS_PER_OBJECTIVE);
    queue = new RequestQueue(settings.overQuotaWeight());
  }

  /** Handles a new request: admits and forwards it, queues it or rejects it. */
  void requestArrived(RequestArrived request, long nowNanos, Consumer<Action> actions) {
    RequestClass requestClass = requestClasses.get(request.className());
    if (requestClass == null) {
      actions.accept(
          new LogMessage(
              "admission: request rejected reason=unknown_class class=" + request.className()));
      reject(request, actions);
      return;
    }
    boolean isOverQuota = !components.quotas.tryAcquire(request.tenant(), nowNanos);
    TrafficWindows windows = components.traffic.windowsOf(request, isOverQuota, nowNanos);
    double load = components.loadEstimator.loadOf(request.workHintNanos());
    PendingRequest pending = new PendingRequest(request, requestClass, nowNanos, load, windows);
    if (pendingRequests.size() >= settings.limits().maxPendingRequests()
        || !components.admission.admit(pending, nowNanos, actions)) {
      reject(request, actions);
      return;
    }
    pendingRequests.put(request.requestId(), pending);
    components.retryBudget.requestAdmitted(nowNanos);
    components.hedging.requestAdmitted();
    forwardOrQueue(pending, nowNanos, actions);
  }

  /** Completes a request whose client disconnected; it needs no final response. */
  void clientDisconnected(ClientDisconnected disconnected, Consumer<Action> actions) {
    PendingRequest pending = pendingRequests.get(disconnected.requestId());
    if (pending != null && !pending.isCompleted) {
      complete(pending, actions);
    }
  }

  /** Marks a request as streaming, which lifts its deadline. */
  void responseStarted(ResponseStarted started) {
    PendingRequest pending = pendingRequests.get(started.requestId());
    if (pending != null) {
      pending.isStreaming = true;
    }
  }

  private void reject(RequestArrived request, Consumer<Action> actions) {
    actions.accept(new RejectRequest(request.requestId(), retryAfterNanos()));
  }

  /** Returns a random delay, so that rejected clients do not all retry at the same time. */
  private long retryAfterNanos() {
    return settings.limits().retryAfter()
        ? random.nextLong(settings.limits().maxRetryAfterNanos() + 1)
        : 0;
  }

  /** Completes a request that will not be served. Rejects it if the client may safely retry. */
  private void rejectOrFail(PendingRequest pending, Consumer<Action> actions) {
    if (components.retrySafety.mayReject(pending)) {
      reject(pending.request, actions);
    } else {
      actions.accept(new FailRequest(pending.request.requestId()));
    }
    complete(pending, actions);
  }

  /** Completes a request and cancels its attempts in flight; it is pending until they complete. */
  private void complete(PendingRequest pending, Consumer<Action> actions) {
    String requestId = pending.request.requestId();
    pending.isCompleted = true;
    queue.remove(pending);
    if (pending.inFlight == 0) {
      pendingRequests.remove(requestId);
    }
    if (settings.limits().cancellation()) {
      for (int i = 0; i < pending.attempts.size(); i++) {
        if (pending.attempts.get(i).isInFlight) {
          actions.accept(new CancelAttempt(requestId, i));
        }
      }
    }
  }

  /**
   * Forwards a request that has no attempt in flight, queues it, or rejects or fails it.
   *
   * @return false if the request was queued or stays queued
   */
  private boolean forwardOrQueue(PendingRequest pending, long nowNanos, Consumer<Action> actions) {
    boolean isRetry = !pending.attempts.isEmpty();
    if (!mayForward(pending, isRetry, nowNanos)) {
      rejectOrFail(pending, actions);
      return true;
    }
    Endpoint endpoint = components.placement.place(pending, nowNanos);
    if (endpoint != null) {
      if (isRetry) {
        components.retryBudget.takeToken();
      }
      queue.remove(pending);
      forward(pending, endpoint, nowNanos, actions);
      return true;
    }
    if (!mayQueue(pending, isRetry, nowNanos)) {
      rejectOrFail(pending, actions);
      return true;
    }
    queue.add(pending);
    sweepTimer.schedule(nowNanos + SweepTimer.QUEUE_PERIOD_NANOS, actions);
    return false;
  }

  private boolean mayForward(PendingRequest pending, boolean isRetry, long nowNanos) {
    return pending.attempts.size() < settings.limits().maxAttempts()
        && (!isRetry || components.retryBudget.hasToken())
        && components.retrySafety.mayForward(pending)
        && nowNanos < pending.request.deadlineNanos() - MIN_TIME_TO_DEADLINE_NANOS;
  }

  private boolean mayQueue(PendingRequest pending, boolean isRetry, long nowNanos) {
    return isRetry
        ? components.registry.readyCount() > 0
        : RequestQueue.isWithinMaxQueueTime(pending, nowNanos);
  }

  private void forward(
      PendingRequest pending, Endpoint endpoint, long nowNanos, Consumer<Action> actions) {
    double chargedNanos = components.inFlightTime.charge(endpoint, pending.load, nowNanos);
    pending.attempts.add(new Attempt(endpoint, nowNanos, chargedNanos));
    pending.inFlight++;
    components.outlierDetector.beforeAttempt(endpoint, nowNanos);
    components.registry.attemptStarted(endpoint, pending.load);
    components.slowStart.attemptStarted(endpoint, pending.load, nowNanos);
    long timeoutNanos = pending.request.deadlineNanos() - nowNanos;
    actions.accept(new ForwardAttempt(pending.request.requestId(), endpoint.id, timeoutNanos));
    scheduleInFlightSweep(pending, nowNanos, actions);
  }

  /** Records a completed attempt, completes or retries its request and forwards queued ones. */
  void attemptCompleted(AttemptCompleted completed, long nowNanos, Consumer<Action> actions) {
    PendingRequest pending = pendingRequests.get(completed.requestId());
    if (pending == null || !pending.isInFlight(completed.attempt())) {
      return;
    }
    Attempt attempt = pending.attempts.get(completed.attempt());
    attempt.isInFlight = false;
    attempt.mayHaveRun = !completed.status().provesNotRun();
    pending.inFlight--;
    components.registry.attemptCompleted(attempt.endpoint, pending.load);
    components.outlierDetector.attemptCompleted(attempt.endpoint, nowNanos);
    components.inFlightTime.settle(attempt, pending.requestClass, completed, nowNanos);
    components.recorder.record(pending, attempt, completed, nowNanos);
    completeOrRetry(completed, pending, nowNanos, actions);
    forwardQueued(nowNanos, actions);
  }

  private void completeOrRetry(
      AttemptCompleted completed, PendingRequest pending, long nowNanos, Consumer<Action> actions) {
    if (pending.isCompleted) {
      if (pending.inFlight == 0) {
        pendingRequests.remove(completed.requestId());
      }
    } else if (completed.requestCompleted()) {
      if (pending.inFlight > 0 && completed.attempt() > 0) {
        components.hedging.hedgeWon();
      }
      complete(pending, actions);
    } else if (pending.inFlight == 0) {
      forwardOrQueue(pending, nowNanos, actions);
    }
  }

  /** Tries to forward queued requests, since a completed attempt frees capacity. */
  private void forwardQueued(long nowNanos, Consumer<Action> actions) {
    int failedPlacements = 0;
    PendingRequest queued = queue.first();
    while (queued != null && failedPlacements < MAX_FAILED_PLACEMENTS) {
      if (!forwardOrQueue(queued, nowNanos, actions)) {
        failedPlacements++;
      }
      queued = queue.after(queued);
    }
  }

  /** Schedules a sweep that detects an unresponsive endpoint or an expired request in time. */
  private void scheduleInFlightSweep(
      PendingRequest pending, long nowNanos, Consumer<Action> actions) {
    long nextNanos = Math.min(expiryNanos(pending), nowNanos + inFlightSweepPeriodNanos);
    sweepTimer.schedule(Math.max(nowNanos + MIN_SWEEP_DELAY_NANOS, nextNanos), actions);
  }

  /** Returns when a request in flight expires: after its deadline, within the response slack. */
  private long expiryNanos(PendingRequest pending) {
    return pending.request.deadlineNanos() + settings.serviceRules().responseSlackNanos() / 2;
  }

  private void sweepInFlight(PendingRequest pending, long nowNanos, Consumer<Action> actions) {
    if (nowNanos >= expiryNanos(pending)) {
      rejectOrFail(pending, actions);
      return;
    }
    if (components.hedging.mayHedge(pending, nowNanos)) {
      Endpoint endpoint = components.placement.place(pending, nowNanos);
      if (endpoint != null) {
        components.hedging.takeToken();
        forward(pending, endpoint, nowNanos, actions);
      }
    }
    scheduleInFlightSweep(pending, nowNanos, actions);
  }

  /** Rejects or fails expired requests, hedges requests and tries to forward queued requests. */
  void sweep(long nowNanos, Consumer<Action> actions) {
    for (PendingRequest pending : List.copyOf(pendingRequests.values())) {
      if (pending.inFlight > 0 && !pending.isCompleted && !pending.isStreaming) {
        sweepInFlight(pending, nowNanos, actions);
      }
    }
    for (PendingRequest queued : queue.snapshot()) {
      forwardOrQueue(queued, nowNanos, actions);
    }
  }

  /** Returns the number of requests without a final response or with an attempt in flight. */
  int pendingRequests() {
    return pendingRequests.size();
  }

  /** Returns the number of requests that wait for an endpoint with capacity. */
  int queuedRequests() {
    return queue.size();
  }
}
