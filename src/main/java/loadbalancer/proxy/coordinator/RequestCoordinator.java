package loadbalancer.proxy.coordinator;

import java.util.function.Consumer;
import loadbalancer.config.EndpointList;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.event.ClientDisconnected;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.proxy.http.ClientRequest;
import loadbalancer.proxy.telemetry.TrafficCounters;
import loadbalancer.proxy.telemetry.TrafficReporter;
import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.upstream.EndpointTable;

/**
 * Keeps the life of every request between its client and the policy: notifies the policy of what
 * happens on the sockets and has its actions carried out. All state belongs to the event loop, and
 * all methods but the constructor are called there.
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
   * Makes a coordinator without requests or endpoints.
   *
   * @param settings what the policy's settings say of attempts and endpoints
   * @param policy decides on the requests
   * @param environment what the coordinator runs on
   * @param defectHandler called when the policy, or the carrying out of its actions, throws: its
   *     decisions are of no use any more
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
    endpointLists = new EndpointListHandler(endpoints, policyEvents);
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
   * Starts with the endpoint list as last known.
   *
   * @param known the full list, possibly out of date
   * @param endpointWatch switches the watch of the list from now on
   */
  public void start(EndpointList known, EndpointWatch endpointWatch) {
    endpointLists.start(known, endpointWatch);
  }

  /**
   * Accepts a client's request, which gets at most one final response; false if a request with the
   * same identifier is open, which the new one must not replace.
   */
  public boolean accept(ClientRequest request, DownstreamClient client) {
    long nowNanos = clock.nowNanos();
    long timeLeftNanos = deadlines.timeLeftNanos(request, nowNanos);
    OpenRequest openRequest = new OpenRequest(request, client, nowNanos + timeLeftNanos);
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

  /** Completes a request whose client disconnected; has no effect on a completed one. */
  public void clientDisconnected(String requestId) {
    OpenRequest request = requests.find(requestId);
    if (request != null && completer.completeDisconnected(request)) {
      policyEvents.notifyPolicy(new ClientDisconnected(requestId));
    }
  }

  /** Applies an update of the endpoint list. */
  public void updateEndpoints(EndpointList update) {
    endpointLists.update(update);
  }

  /** Notifies the policy that the watch of the endpoint list failed. */
  public void endpointWatchFailed() {
    endpointLists.watchFailed();
  }

  /**
   * Caps the deadline of every request that is open or accepted from now on, for a process that is
   * about to end.
   *
   * @param remainingNanos how long from now the latest deadline is
   */
  public void capDeadlines(long remainingNanos) {
    long latestDeadlineNanos = clock.nowNanos() + remainingNanos;
    deadlines.capAt(latestDeadlineNanos);
    requests.capDeadlines(latestDeadlineNanos, remainingNanos);
  }

  /** Completes all open requests without the policy, for a process that ends at once. */
  public void completeAllRequests() {
    completer.completeAll();
  }

  /** Logs the counters of the time since the last call, unless nothing happened. */
  public void logStatistics() {
    trafficReporter.logInterval(requests.size());
  }

  private void handleEvent(Event event) {
    policy.handle(clock.nowNanos(), event, actions);
  }

  /** The policy left the request without a response until its client's time was nearly up. */
  private void deadlineReached(OpenRequest request) {
    if (completer.completeAtDeadline(request)) {
      policyEvents.notifyPolicy(new ClientDisconnected(request.id()));
    }
  }
}
