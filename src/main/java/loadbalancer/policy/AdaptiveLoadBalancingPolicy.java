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
 * The default policy: dispatches each event to the component that handles it.
 *
 * <p>{@link RequestLifecycle} drives a request through its stages: {@link AdmissionController}
 * admits it, {@link BoundedLoadPlacement} chooses an endpoint, the attempt is forwarded, and {@link
 * AttemptRecorder} records the attempt's latency. Other components handle the remaining cases:
 * {@link RequestQueue} holds requests while no endpoint has capacity, {@link RetrySafety} and
 * {@link RetryBudget} limit retries, {@link HedgingPolicy} decides on hedged requests, and {@link
 * WatchBackoff} schedules restarts of the endpoint list watch.
 */
public final class AdaptiveLoadBalancingPolicy implements LoadBalancingPolicy {
  /** Limits how much one sweep after a long pause changes the moving averages. */
  private static final long MAX_SWEEP_ELAPSED_NANOS = 1_000_000_000L;

  private final PolicySettings settings;
  private final PolicyComponents components;
  private final SweepTimer sweepTimer = new SweepTimer();
  private final RequestLifecycle requestLifecycle;
  private final WatchBackoff watchBackoff;
  private long lastSweepNanos;

  /**
   * Creates the policy of one balancer.
   *
   * @param seed seeds the policy's random number generator, its only source of randomness
   */
  public AdaptiveLoadBalancingPolicy(PolicySettings settings, long seed) {
    this.settings = settings;
    SplittableRandom random = new SplittableRandom(seed);
    LatencyObjectives objectives = LatencyObjectives.of(settings.requestClasses());
    components = new PolicyComponents(settings, objectives, random);
    requestLifecycle =
        new RequestLifecycle(settings, components, sweepTimer, objectives.shortestNanos(), random);
    watchBackoff = new WatchBackoff(settings, random);
  }

  /**
   * {@inheritDoc}
   *
   * <p>Ignores the results of health checks and messages from peers, since this policy requests no
   * health checks and sends no peer messages.
   */
  @Override
  public void handle(long nowNanos, Event event, Consumer<Action> actions) {
    if (event instanceof RequestArrived request) {
      requestLifecycle.requestArrived(request, nowNanos, actions);
    } else if (event instanceof AttemptCompleted completed) {
      requestLifecycle.attemptCompleted(completed, nowNanos, actions);
    } else if (event instanceof TimerFired) {
      onTimerFired(nowNanos, actions);
    } else if (event instanceof EndpointListUpdate update) {
      onEndpointListUpdate(update, nowNanos, actions);
    } else if (event instanceof ClientDisconnected disconnected) {
      requestLifecycle.clientDisconnected(disconnected, actions);
    } else if (event instanceof ResponseStarted started) {
      requestLifecycle.responseStarted(started);
    }
  }

  private void onTimerFired(long nowNanos, Consumer<Action> actions) {
    if (!sweepTimer.clearIfDue(nowNanos)) {
      return;
    }
    double elapsedNanos = Math.min(MAX_SWEEP_ELAPSED_NANOS, nowNanos - lastSweepNanos);
    lastSweepNanos = nowNanos;
    components.admission.updateHealthyLoad(elapsedNanos, nowNanos);
    components.slowStart.updateRecentRate(elapsedNanos, nowNanos);
    components.outlierDetector.updatePanic(nowNanos);
    requestLifecycle.sweep(nowNanos, actions);
    if (watchBackoff.clearIfDue(nowNanos)) {
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
    components.registry.apply(update, nowNanos);
  }

  /** Returns the number of requests without a final response or with an attempt in flight. */
  int pendingRequests() {
    return requestLifecycle.pendingRequests();
  }

  /** Returns the number of requests that wait for an endpoint with capacity. */
  int queuedRequests() {
    return requestLifecycle.queuedRequests();
  }

  /** Returns the number of sliding windows that are tracked by name. */
  int trackedWindows() {
    return components.traffic.trackedWindows();
  }
}
