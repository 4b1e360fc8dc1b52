package loadbalancer.policy;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.WatchEndpoints;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.ClientDisconnected;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.event.ResponseStarted;
import loadbalancer.policy.event.TimerFired;
import loadbalancer.policy.settings.PolicySettings;

/**
 * The coordinator of the policy: dispatches events to the parts that decide.
 *
 * <p>The ordinary way of a request, kept by {@link RequestLifecycle}: {@link AdmissionController}
 * admits it, {@link BoundedLoadPlacement} chooses an endpoint, the attempt is forwarded, and {@link
 * AttemptRecorder} takes its latency into the statistics. Beside that: {@link RequestQueue} while
 * no endpoint has capacity, {@link RetrySafety} and {@link RetryBudget} for retries, {@link
 * HedgingPolicy} for hedged requests, {@link WatchBackoff} for the watch of the endpoint list.
 */
public final class AdaptiveLoadBalancingPolicy implements LoadBalancingPolicy {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final PolicySettings settings;
  private final PolicyComponents parts;
  private final SweepTimer sweepTimer = new SweepTimer();
  private final RequestLifecycle requests;
  private final WatchBackoff watchBackoff;
  private long lastSweepNanos;

  /** Makes the decisions of one balancer; the seed is its only source of randomness. */
  public AdaptiveLoadBalancingPolicy(PolicySettings settings, long seed) {
    this.settings = settings;
    SplittableRandom random = new SplittableRandom(seed);
    LatencyObjectives objectives = LatencyObjectives.of(settings.requestClasses());
    parts = new PolicyComponents(settings, objectives, random);
    requests =
        new RequestLifecycle(settings, parts, sweepTimer, objectives.shortestNanos(), random);
    watchBackoff = new WatchBackoff(settings, random);
  }

  /** Health checks and messages of peers are not used, so their events are ignored. */
  @Override
  public void handle(long nowNanos, Event event, Consumer<Action> actions) {
    if (event instanceof RequestArrived request) {
      requests.requestArrived(request, nowNanos, actions);
    } else if (event instanceof AttemptCompleted completed) {
      requests.attemptCompleted(completed, nowNanos, actions);
    } else if (event instanceof TimerFired) {
      onTimerFired(nowNanos, actions);
    } else if (event instanceof EndpointListUpdate update) {
      onEndpointListUpdate(update, nowNanos, actions);
    } else if (event instanceof ClientDisconnected disconnected) {
      requests.clientDisconnected(disconnected, actions);
    } else if (event instanceof ResponseStarted started) {
      requests.responseStarted(started);
    }
  }

  private void onTimerFired(long nowNanos, Consumer<Action> actions) {
    if (!sweepTimer.takeDue(nowNanos)) {
      return;
    }
    double elapsedNanos = Math.min(NANOS_PER_SECOND, nowNanos - lastSweepNanos);
    lastSweepNanos = nowNanos;
    parts.admission.updateHealthyLoad(elapsedNanos, nowNanos);
    parts.slowStart.updateRecentRate(elapsedNanos, nowNanos);
    parts.outlierDetector.updatePanic(nowNanos);
    requests.sweep(nowNanos, actions);
    if (watchBackoff.takeDueWatch(nowNanos)) {
      actions.accept(new WatchEndpoints(true));
    }
    sweepTimer.schedule(watchBackoff.nextWatchNanos(), actions);
  }

  private void onEndpointListUpdate(
      EndpointListUpdate update, long nowNanos, Consumer<Action> actions) {
    if (update.kind() == EndpointListUpdate.Kind.FAILED) {
      watchBackoff.watchFailed(nowNanos);
      sweepTimer.schedule(watchBackoff.nextWatchNanos(), actions);
      return;
    }
    if (update.kind() != EndpointListUpdate.Kind.CACHED) {
      watchBackoff.reset();
    } else if (settings.endpointListPolled()) {
      actions.accept(new WatchEndpoints(true));
    }
    parts.registry.apply(update, nowNanos);
  }

  /** How many requests are pending: without a final answer or with an attempt in flight. */
  int pendingRequests() {
    return requests.pendingRequests();
  }

  /** How many requests wait for an endpoint with capacity. */
  int queuedRequests() {
    return requests.queuedRequests();
  }

  /** How many sliding windows are tracked by name. */
  int trackedWindows() {
    return parts.traffic.trackedWindows();
  }
}
