package loadbalancer.proxy.coordinator;

import java.util.function.Consumer;
import loadbalancer.config.EndpointList;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.event.ClientDisconnected;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.proxy.http.ClientRequest;
import loadbalancer.proxy.http.MemoryBudget;
import loadbalancer.proxy.telemetry.TrafficCounters;
import loadbalancer.proxy.telemetry.TrafficReporter;
import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.upstream.EndpointTable;

/**
 * Coordinates clients, the policy and upstreams: tracks every open request, notifies the policy of
 * events on the sockets and carries out the actions that the policy returns. All methods must be
 * called on the event loop thread; the constructor may be called on any thread.
 */
public final class RequestCoordinator {

  private final LoadBalancingPolicy policy;
  private final EpochClock clock;
  private final TrafficCounters counters = new TrafficCounters();
  private final TrafficReporter trafficReporter = new TrafficReporter(counters);
  private final ResponseDeadlines deadlines = new ResponseDeadlines();
  private final OpenRequestTable requests;
  private final PolicyEventQueue policyEvents;
  private final RequestCompleter completer;
  private final EndpointListHandler endpointLists;
  private final ActionDispatcher actions;

  /**
   * Creates a coordinator without requests or endpoints.
   *
   * @param settings the policy's settings, of which the coordinator uses the maximum number of
   *     attempts, the zone and the warm-up time
   * @param policy decides how each request is handled
   * @param environment the event loop, the clock and the connection pools
   * @param defectHandler called when the policy throws an exception or one of its actions cannot be
   *     carried out; the policy's decisions are unreliable from then on
   */
  public RequestCoordinator(
      PolicySettings settings,
      LoadBalancingPolicy policy,
      CoordinatorEnvironment environment,
      Consumer<RuntimeException> defectHandler) {
    this.policy = policy;
    clock = environment.clock();
    requests = new OpenRequestTable(environment.eventLoop(), this::deadlineReached);
    policyEvents = new PolicyEventQueue(this::handleEvent, requests::removeFinished, defectHandler);
    completer = new RequestCompleter(requests, policyEvents, counters);
    EndpointTable endpoints = new EndpointTable(environment.connectionPools());
    endpointLists = new EndpointListHandler(environment.eventLoop(), endpoints, policyEvents);
    CoordinatorTables tables = new CoordinatorTables(requests, endpoints);
    AttemptStatistics statistics = new AttemptStatistics(settings, environment, counters);
    AttemptForwarder forwarder =
        new AttemptForwarder(
            environment,
            tables,
            new ForwardingRules(settings.limits().maxAttempts(), completer, clock),
            new AttemptCompletionHandler(tables, completer, statistics, policyEvents));
    PolicyTimers timers = new PolicyTimers(environment, policyEvents);
    actions = new ActionDispatcher(forwarder, completer, timers, endpointLists);
  }

  /**
   * Loads the last known endpoint list and notifies the policy of it; called once.
   *
   * @param cachedList the full list, possibly out of date
   * @param endpointWatch starts and stops the watch of the list from now on
   */
  public void start(EndpointList cachedList, EndpointWatch endpointWatch) {
    endpointLists.start(cachedList, endpointWatch);
  }

  /**
   * Accepts a client's request, which is sent at most one final response. Returns false if a
   * request with the same id is open, since the new request must not replace it, or has ended and
   * must not run twice.
   *
   * @param memory the memory reserved for the request; released when the request is completed and
   *     none of its attempts is in flight, unless this returns false
   */
  public boolean accept(
      ClientRequest request, MemoryBudget.Reservation memory, DownstreamClient client) {
    endIfClientHasLeft(request.requestId());
    long nowNanos = clock.nowNanos();
    long timeLeftNanos = deadlines.timeLeftNanos(request, nowNanos);
    OpenRequest openRequest = new OpenRequest(request, memory, client, nowNanos + timeLeftNanos);
    if (!requests.add(openRequest, timeLeftNanos)) {
      return false;
    }
    counters.requestReceived();
    policyEvents.notifyPolicy(
        new RequestArrived(
            request.requestId(),
            request.requestClass().name(),
            request.tenant(),
            request.affinityKey(),
            openRequest.deadlineNanos(),
            request.workHintNanos(),
            request.isClientRetry()));
    return true;
  }

  /** The event loop may not have read the close yet of a client that sends its request again. */
  private void endIfClientHasLeft(String requestId) {
    OpenRequest earlier = requests.find(requestId);
    if (earlier != null && !earlier.isCompleted() && !earlier.client().isConnected()) {
      clientDisconnected(requestId);
    }
  }

  /**
   * Completes a request whose client has disconnected; has no effect on a completed or unknown
   * request.
   */
  public void clientDisconnected(String requestId) {
    OpenRequest request = requests.find(requestId);
    if (request != null && completer.completeDisconnected(request)) {
      policyEvents.notifyPolicy(new ClientDisconnected(requestId));
    }
  }

  /** Applies an update of the endpoint list: a full list or only the entries that changed. */
  public void updateEndpoints(EndpointList update) {
    endpointLists.update(update);
  }

  /** Whether an update of the endpoint list has not been applied to its end yet. */
  public boolean isApplyingEndpoints() {
    return endpointLists.isApplying();
  }

  /** Notifies the policy that the watch of the endpoint list failed. */
  public void endpointWatchFailed() {
    endpointLists.watchFailed();
  }

  /**
   * Caps the deadlines of the requests that are open now or accepted later, for a process that
   * shuts down gracefully.
   *
   * @param remainingNanos the time from now to the latest allowed deadline
   */
  public void capDeadlines(long remainingNanos) {
    long latestDeadlineNanos = clock.nowNanos() + remainingNanos;
    deadlines.capAt(latestDeadlineNanos);
    requests.capDeadlines(latestDeadlineNanos, remainingNanos);
  }

  /** Completes all open requests without asking the policy, for a process that ends immediately. */
  public void completeAllRequests() {
    completer.completeAll();
  }

  /**
   * Logs the traffic counters of the interval since the last call, unless no request was received
   * and no attempt completed in it.
   */
  public void logStatistics() {
    trafficReporter.logInterval(requests.size());
  }

  private void handleEvent(Event event) {
    policy.handle(clock.nowNanos(), event, actions);
  }

  /**
   * Completes a request that has no final response when its deadline timer fires. The policy is
   * notified as if the client had disconnected.
   */
  private void deadlineReached(OpenRequest request) {
    if (completer.completeAtDeadline(request)) {
      policyEvents.notifyPolicy(new ClientDisconnected(request.id()));
    }
  }
}
