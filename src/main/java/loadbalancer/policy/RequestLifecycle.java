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
 * The requests from their arrival to their one final answer: asks the parts of the policy whether
 * to admit, where to forward, whether to retry, hedge, let wait or give up, and keeps what is
 * pending. Called by {@link AdaptiveLoadBalancingPolicy} for each event of a request and for each
 * sweep.
 */
final class RequestLifecycle {
  /** Bounds the work of one completed attempt while no endpoint has capacity. */
  private static final int MAX_FUTILE_PLACEMENTS = 4;

  /** With less time left, a request is not forwarded any more. */
  private static final long MIN_FORWARDING_TIME_NANOS = 20_000_000L;

  /** Sweeps while attempts are in flight, in the shortest latency objective. */
  private static final int SWEEPS_PER_OBJECTIVE = 8;

  private static final long MIN_SWEEP_DELAY_NANOS = 1_000_000L;

  private final PolicySettings settings;
  private final PolicyComponents parts;
  private final SweepTimer sweepTimer;
  private final SplittableRandom random;
  private final long inFlightSweepPeriodNanos;
  private final Map<String, RequestClass> requestClasses = new HashMap<>();
  private final Map<String, PendingRequest> pendingRequests = new LinkedHashMap<>();
  private final RequestQueue queue;

  /** Without requests; asks {@code sweepTimer} for the sweeps that pending requests need. */
  RequestLifecycle(
      PolicySettings settings,
      PolicyComponents parts,
      SweepTimer sweepTimer,
      long shortestObjectiveNanos,
      SplittableRandom random) {
    this.settings = settings;
    this.parts = parts;
    this.sweepTimer = sweepTimer;
    this.random = random;
    for (RequestClass requestClass : settings.requestClasses()) {
      requestClasses.put(requestClass.name(), requestClass);
    }
    inFlightSweepPeriodNanos =
        Math.max(SweepTimer.QUEUE_PERIOD_NANOS, shortestObjectiveNanos / SWEEPS_PER_OBJECTIVE);
    queue = new RequestQueue(settings.overQuotaWeight());
  }

  /** Admits and forwards a request, or rejects it. */
  void requestArrived(RequestArrived request, long nowNanos, Consumer<Action> actions) {
    RequestClass requestClass = requestClasses.get(request.className());
    if (requestClass == null) {
      actions.accept(
          new LogMessage(
              "admission: request rejected reason=unknown_class class=" + request.className()));
      reject(request, actions);
      return;
    }
    boolean isOverQuota = !parts.quotas.tryAcquire(request.tenant(), nowNanos);
    TrafficWindows windows = parts.traffic.windowsOf(request, isOverQuota, nowNanos);
    double load = parts.loadEstimator.loadOf(request.workHintNanos());
    PendingRequest pending = new PendingRequest(request, requestClass, nowNanos, load, windows);
    if (pendingRequests.size() >= settings.limits().maxOpenRequests()
        || !parts.admission.admit(pending, nowNanos, actions)) {
      reject(request, actions);
      return;
    }
    pendingRequests.put(request.requestId(), pending);
    parts.retryBudget.requestAdmitted(nowNanos);
    parts.hedging.requestAdmitted();
    advance(pending, nowNanos, actions);
  }

  /** Cancels the attempts of a request whose client left; no answer is owed any more. */
  void clientDisconnected(ClientDisconnected disconnected, Consumer<Action> actions) {
    PendingRequest pending = pendingRequests.get(disconnected.requestId());
    if (pending != null && !pending.isFinal) {
      complete(pending, actions);
    }
  }

  /** Notes that a streamed response has started: the request has no deadline any more. */
  void responseStarted(ResponseStarted started) {
    PendingRequest pending = pendingRequests.get(started.requestId());
    if (pending != null) {
      pending.isStreaming = true;
    }
  }

  private void reject(RequestArrived request, Consumer<Action> actions) {
    actions.accept(new RejectRequest(request.requestId(), retryAfterNanos()));
  }

  /** Random, so that rejected clients do not return together. */
  private long retryAfterNanos() {
    return settings.limits().retryAfter()
        ? random.nextLong(settings.limits().maxRetryAfterNanos() + 1)
        : 0;
  }

  /** Answers a request that will not be served. */
  private void giveUp(PendingRequest pending, Consumer<Action> actions) {
    if (parts.retrySafety.mayReject(pending)) {
      reject(pending.request, actions);
    } else {
      actions.accept(new FailRequest(pending.request.requestId()));
    }
    complete(pending, actions);
  }

  /** Cancels what is in flight for a request with its final answer; forgets it once nothing is. */
  private void complete(PendingRequest pending, Consumer<Action> actions) {
    String requestId = pending.request.requestId();
    pending.isFinal = true;
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
   * Forwards a request that has no attempt in flight, gives it up, or lets it wait.
   *
   * @return false if the request waits
   */
  private boolean advance(PendingRequest pending, long nowNanos, Consumer<Action> actions) {
    boolean isRetry = !pending.attempts.isEmpty();
    if (!mayForward(pending, isRetry, nowNanos)) {
      giveUp(pending, actions);
      return true;
    }
    Endpoint endpoint = parts.placement.place(pending, nowNanos);
    if (endpoint != null) {
      if (isRetry) {
        parts.retryBudget.takeToken();
      }
      queue.remove(pending);
      forward(pending, endpoint, nowNanos, actions);
      return true;
    }
    if (!mayWait(pending, isRetry, nowNanos)) {
      giveUp(pending, actions);
      return true;
    }
    queue.add(pending);
    sweepTimer.schedule(nowNanos + SweepTimer.QUEUE_PERIOD_NANOS, actions);
    return false;
  }

  private boolean mayForward(PendingRequest pending, boolean isRetry, long nowNanos) {
    return pending.attempts.size() < settings.limits().maxAttempts()
        && (!isRetry || parts.retryBudget.hasToken())
        && parts.retrySafety.mayForward(pending)
        && nowNanos < pending.request.deadlineNanos() - MIN_FORWARDING_TIME_NANOS;
  }

  private boolean mayWait(PendingRequest pending, boolean isRetry, long nowNanos) {
    return isRetry
        ? parts.registry.readyCount() > 0
        : RequestQueue.mayAwaitFirstAttempt(pending, nowNanos);
  }

  private void forward(
      PendingRequest pending, Endpoint endpoint, long nowNanos, Consumer<Action> actions) {
    double chargedNanos = parts.inFlightTime.charge(endpoint, pending.load, nowNanos);
    pending.attempts.add(new Attempt(endpoint, nowNanos, chargedNanos));
    pending.inFlight++;
    parts.outlierDetector.beforeAttempt(endpoint, nowNanos);
    parts.registry.attemptStarted(endpoint, pending.load);
    parts.slowStart.attemptStarted(endpoint, pending.load, nowNanos);
    long timeoutNanos = pending.request.deadlineNanos() - nowNanos;
    actions.accept(new ForwardAttempt(pending.request.requestId(), endpoint.id, timeoutNanos));
    scheduleInFlightSweep(pending, nowNanos, actions);
  }

  /** Records a completed attempt, then retries, completes or gives up its request. */
  void attemptCompleted(AttemptCompleted completed, long nowNanos, Consumer<Action> actions) {
    PendingRequest pending = pendingRequests.get(completed.requestId());
    if (pending == null || !pending.isInFlight(completed.attempt())) {
      return;
    }
    Attempt attempt = pending.attempts.get(completed.attempt());
    attempt.isInFlight = false;
    attempt.mayHaveRun = !completed.status().provesNotRun();
    pending.inFlight--;
    parts.registry.attemptCompleted(attempt.endpoint, pending.load);
    parts.outlierDetector.attemptCompleted(attempt.endpoint, nowNanos);
    parts.inFlightTime.settle(attempt, pending.requestClass, completed, nowNanos);
    parts.recorder.record(pending, attempt, completed, nowNanos);
    continueAfter(completed, pending, nowNanos, actions);
    forwardQueued(nowNanos, actions);
  }

  private void continueAfter(
      AttemptCompleted completed, PendingRequest pending, long nowNanos, Consumer<Action> actions) {
    if (pending.isFinal) {
      if (pending.inFlight == 0) {
        pendingRequests.remove(completed.requestId());
      }
    } else if (completed.requestCompleted()) {
      if (pending.inFlight > 0 && completed.attempt() > 0) {
        parts.hedging.hedgeWon();
      }
      complete(pending, actions);
    } else if (pending.inFlight == 0) {
      advance(pending, nowNanos, actions);
    }
  }

  /** Tries to forward waiting requests, as a completed attempt may have made room for one. */
  private void forwardQueued(long nowNanos, Consumer<Action> actions) {
    int futilePlacements = 0;
    PendingRequest queued = queue.first();
    while (queued != null && futilePlacements < MAX_FUTILE_PLACEMENTS) {
      if (!advance(queued, nowNanos, actions)) {
        futilePlacements++;
      }
      queued = queue.after(queued);
    }
  }

  /** In time to see that an endpoint became unresponsive, and for the request's deadline. */
  private void scheduleInFlightSweep(
      PendingRequest pending, long nowNanos, Consumer<Action> actions) {
    long nextNanos = Math.min(giveUpNanos(pending), nowNanos + inFlightSweepPeriodNanos);
    sweepTimer.schedule(Math.max(nowNanos + MIN_SWEEP_DELAY_NANOS, nextNanos), actions);
  }

  /** When a request with an attempt in flight is given up: within the slack after its deadline. */
  private long giveUpNanos(PendingRequest pending) {
    return pending.request.deadlineNanos() + settings.serviceRules().responseSlackNanos() / 2;
  }

  private void sweepInFlight(PendingRequest pending, long nowNanos, Consumer<Action> actions) {
    if (nowNanos >= giveUpNanos(pending)) {
      giveUp(pending, actions);
      return;
    }
    if (parts.hedging.mayHedge(pending, nowNanos)) {
      Endpoint endpoint = parts.placement.place(pending, nowNanos);
      if (endpoint != null) {
        parts.hedging.takeToken();
        forward(pending, endpoint, nowNanos, actions);
      }
    }
    scheduleInFlightSweep(pending, nowNanos, actions);
  }

  /** Gives up overdue requests, hedges, and tries to forward the waiting ones. */
  void sweep(long nowNanos, Consumer<Action> actions) {
    for (PendingRequest pending : List.copyOf(pendingRequests.values())) {
      if (pending.inFlight > 0 && !pending.isFinal && !pending.isStreaming) {
        sweepInFlight(pending, nowNanos, actions);
      }
    }
    for (PendingRequest queued : queue.snapshot()) {
      advance(queued, nowNanos, actions);
    }
  }

  /** How many requests are pending: without a final answer or with an attempt in flight. */
  int pendingRequests() {
    return pendingRequests.size();
  }

  /** How many requests wait for an endpoint with capacity. */
  int queuedRequests() {
    return queue.size();
  }
}
