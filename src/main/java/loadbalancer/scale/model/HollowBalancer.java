package loadbalancer.scale.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.CancelAttempt;
import loadbalancer.policy.action.CheckHealth;
import loadbalancer.policy.action.FailRequest;
import loadbalancer.policy.action.FetchEndpoints;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.RejectRequest;
import loadbalancer.policy.action.SendPeerMessage;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.action.WatchEndpoints;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.event.TimerFired;

/**
 * A balancer without sockets: makes its decisions with a policy and carries them out in simulated
 * time. It reports one completion for each attempt and one firing for each timer. Health checks and
 * peer messages are not modelled, and such actions are an error.
 */
public final class HollowBalancer {

  private final Simulation simulation;
  private final LoadBalancingPolicy policy;
  private final BalancerEnvironment environment;
  private final BalancerObserver observer;

  /** The requests that have not ended or have an attempt in flight, by id. */
  private final Map<String, RequestState> requests = new HashMap<>();

  private long requestProcessorNanos;
  private long updateProcessorNanos;

  private static final class RequestState {
    final long arrivedNanos;
    final List<AttemptState> attempts = new ArrayList<>();
    boolean hasEnded;
    int inFlight;

    RequestState(long arrivedNanos) {
      this.arrivedNanos = arrivedNanos;
    }
  }

  private static final class AttemptState {
    final int index;
    final long endpointId;
    final long startedNanos;
    boolean isCompleted;

    AttemptState(int index, long endpointId, long startedNanos) {
      this.index = index;
      this.endpointId = endpointId;
      this.startedNanos = startedNanos;
    }
  }

  /** Creates a balancer that has no endpoint list yet. */
  public HollowBalancer(
      Simulation simulation,
      LoadBalancingPolicy policy,
      BalancerEnvironment environment,
      BalancerObserver observer) {
    this.simulation = simulation;
    this.policy = policy;
    this.environment = environment;
    this.observer = observer;
  }

  /** Handles a request that arrives now; its id must be new. */
  public void requestArrives(RequestArrived request) {
    RequestState previous =
        requests.putIfAbsent(request.requestId(), new RequestState(simulation.nowNanos()));
    if (previous != null) {
      throw new IllegalArgumentException("the request id is in use: " + request.requestId());
    }
    handle(request);
  }

  /** Handles an update of the endpoint list that arrives now. */
  public void endpointsChange(EndpointListUpdate update) {
    updateProcessorNanos += handleMeasured(update);
  }

  /** The processor time that the policy has used for requests, attempts and timers. */
  public long requestProcessorNanos() {
    return requestProcessorNanos;
  }

  /** The processor time that the policy has used for updates of the endpoint list. */
  public long updateProcessorNanos() {
    return updateProcessorNanos;
  }

  /** The number of requests that have not ended or have an attempt in flight. */
  public int pendingRequests() {
    return requests.size();
  }

  private void handle(Event event) {
    requestProcessorNanos += handleMeasured(event);
  }

  /** Handles an event, carries out its actions and returns the policy's processor time. */
  private long handleMeasured(Event event) {
    List<Action> actions = new ArrayList<>();
    long beginNanos = environment.processorClockNanos().getAsLong();
    policy.handle(simulation.nowNanos(), event, actions::add);
    long usedNanos = environment.processorClockNanos().getAsLong() - beginNanos;
    actions.forEach(this::carryOut);
    return usedNanos;
  }

  private void carryOut(Action action) {
    if (action instanceof ForwardAttempt forward) {
      forward(forward);
    } else if (action instanceof SetTimer timer) {
      setTimer(timer);
    } else if (action instanceof CancelAttempt cancel) {
      cancel(cancel);
    } else if (action instanceof RejectRequest rejection) {
      endRequest(rejection.requestId(), RequestOutcome.REJECTED);
    } else if (action instanceof FailRequest failure) {
      endRequest(failure.requestId(), RequestOutcome.FAILED);
    } else if (action instanceof FetchEndpoints || isWatchStart(action)) {
      simulation.schedule(0, this::receiveEndpointList);
    } else if (action instanceof CheckHealth || action instanceof SendPeerMessage) {
      throw new IllegalStateException("the model has no such action: " + action);
    }
  }

  private static boolean isWatchStart(Action action) {
    return action instanceof WatchEndpoints watch && watch.enabled();
  }

  private void receiveEndpointList() {
    endpointsChange(
        new EndpointListUpdate(EndpointListUpdate.Kind.FULL, environment.endpointList()));
  }

  private void setTimer(SetTimer timer) {
    long delayNanos = Math.max(0, timer.fireAtNanos() - simulation.nowNanos());
    simulation.schedule(delayNanos, () -> handle(new TimerFired(timer.timerId())));
  }

  private void forward(ForwardAttempt forward) {
    long nowNanos = simulation.nowNanos();
    RequestState request = requests.get(forward.requestId());
    AttemptState attempt =
        new AttemptState(request.attempts.size(), forward.endpointId(), nowNanos);
    request.attempts.add(attempt);
    request.inFlight++;
    observer.attemptStarted(forward.endpointId());
    UpstreamResponse response = environment.sendAttempt(forward.endpointId());
    long delayNanos = response.atNanos() - nowNanos;
    boolean timesOut = forward.timeoutNanos() > 0 && forward.timeoutNanos() < delayNanos;
    simulation.schedule(
        timesOut ? forward.timeoutNanos() : delayNanos,
        () ->
            complete(
                forward.requestId(),
                attempt,
                timesOut ? AttemptStatus.TIMEOUT : response.status()));
  }

  private void cancel(CancelAttempt cancel) {
    RequestState request = requests.get(cancel.requestId());
    if (request != null) {
      AttemptState attempt = request.attempts.get(cancel.attempt());
      simulation.schedule(0, () -> complete(cancel.requestId(), attempt, AttemptStatus.CANCELLED));
    }
  }

  /** Completes an attempt unless it is completed, as one is whose cancellation came first. */
  private void complete(String requestId, AttemptState attempt, AttemptStatus status) {
    if (attempt.isCompleted) {
      return;
    }
    attempt.isCompleted = true;
    RequestState request = requests.get(requestId);
    request.inFlight--;
    observer.attemptCompleted(attempt.endpointId, status);
    if (status == AttemptStatus.SERVED && !request.hasEnded) {
      endRequest(requestId, RequestOutcome.SERVED);
    }
    boolean isRequestCompleted = request.hasEnded;
    forgetIfDone(requestId, request);
    handle(
        new AttemptCompleted(
            requestId,
            attempt.index,
            attempt.endpointId,
            status,
            simulation.nowNanos() - attempt.startedNanos,
            isRequestCompleted,
            Map.of()));
  }

  private void endRequest(String requestId, RequestOutcome outcome) {
    RequestState request = requests.get(requestId);
    if (request == null || request.hasEnded) {
      throw new IllegalStateException("the request has ended before: " + requestId);
    }
    request.hasEnded = true;
    observer.requestEnded(outcome, simulation.nowNanos() - request.arrivedNanos);
    forgetIfDone(requestId, request);
  }

  private void forgetIfDone(String requestId, RequestState request) {
    if (request.hasEnded && request.inFlight == 0) {
      requests.remove(requestId);
    }
  }
}
