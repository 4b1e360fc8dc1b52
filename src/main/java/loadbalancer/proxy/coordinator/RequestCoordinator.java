package loadbalancer.proxy.coordinator;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.config.EndpointList;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.CancelAttempt;
import loadbalancer.policy.action.FailRequest;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.LogMessage;
import loadbalancer.policy.action.RejectRequest;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.action.WatchEndpoints;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.ClientDisconnected;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.event.TimerFired;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.proxy.http.ClientRequest;
import loadbalancer.proxy.http.UpstreamResponse;
import loadbalancer.proxy.telemetry.CompletedAttempt;
import loadbalancer.proxy.telemetry.EndpointCategory;
import loadbalancer.proxy.telemetry.EventLog;
import loadbalancer.proxy.telemetry.EventLoopLag;
import loadbalancer.proxy.telemetry.TrafficCounters;
import loadbalancer.proxy.telemetry.TrafficReporter;
import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.upstream.AttemptPlan;
import loadbalancer.proxy.upstream.EndpointTable;
import loadbalancer.proxy.upstream.UpstreamAttempt;
import loadbalancer.proxy.upstream.UpstreamEndpoint;

/**
 * The table of open requests: tells the module what happens on the sockets and carries out what it
 * decides.
 */
public final class RequestCoordinator {

  /**
   * An answer goes out this long before the client stops waiting, so that a busy core still is in
   * time; but no more than this part of its wait, or one that waits for less than the margin would
   * never be tried.
   */
  private static final long ANSWER_MARGIN_NANOS = 60_000_000L;

  private static final double ANSWER_MARGIN_PART = 0.125;

  /** The node's own answer where the module gave none in time, after the module's deadline. */
  private static final long GUARD_NANOS = 20_000_000L;

  private final PolicySettings settings;
  private final LoadBalancingPolicy module;
  private final EpochClock clock;
  private final EventLoop loop;
  private final EventLoopLag lag;
  private final TrafficCounters counters = new TrafficCounters();
  private final TrafficReporter trafficReporter = new TrafficReporter(counters);
  private final Consumer<RuntimeException> defect;
  private final Map<String, OpenRequest> table = new HashMap<>();
  private final EndpointTable upstreams;
  private final Queue<Event> events = new ArrayDeque<>();
  private final List<OpenRequest> over = new ArrayList<>();
  private Consumer<Boolean> watch = on -> {};
  private boolean handling;

  /** The event that is being handled is a request that just came in. */
  private boolean taking;

  private long endsAt = Long.MAX_VALUE;

  public RequestCoordinator(
      PolicySettings settings,
      LoadBalancingPolicy module,
      CoordinatorEnvironment environment,
      Consumer<RuntimeException> defect) {
    this.settings = settings;
    this.module = module;
    clock = environment.clock();
    loop = environment.eventLoop();
    lag = environment.eventLoopLag();
    upstreams = new EndpointTable(environment.connectionPools());
    this.defect = defect;
  }

  /** Logs what was done since the last report, if anything was. */
  public void logStatistics() {
    trafficReporter.logInterval(table.size());
  }

  /**
   * Starts with the list as last held; {@code watch} carries out the module's wish to follow it.
   */
  public void start(EndpointList known, Consumer<Boolean> watch) {
    this.watch = watch;
    updateEndpoints(EndpointListUpdate.Kind.CACHED, known);
  }

  // ---- Clients
  // ------------------------------------------------------------------------------------------

  /** Takes a request; false where its id is open already, which must not replace the first one. */
  public boolean accept(ClientRequest request, DownstreamClient client) {
    long now = clock.nowNanos();
    long left =
        Math.max(
            0,
            Math.min(
                request.timeLeftNanos() - answerMargin(request.timeLeftNanos()), endsAt - now));
    OpenRequest r = new OpenRequest(request, client, now + left);
    if (table.putIfAbsent(request.requestId(), r) != null) {
      return false;
    }
    counters.requestReceived();
    r.guard = loop.schedule(() -> answerForModule(r), left + GUARD_NANOS, TimeUnit.NANOSECONDS);
    tell(
        new RequestArrived(
            request.requestId(),
            request.requestClass().name(),
            request.tenant(),
            request.affinityKey(),
            r.deadline,
            request.workHintNanos(),
            request.isClientRetry()));
    return true;
  }

  /**
   * How long before its time is up a request that comes with so much time left is to be answered.
   */
  static long answerMargin(long leftNanos) {
    return Math.min(ANSWER_MARGIN_NANOS, (long) (leftNanos * ANSWER_MARGIN_PART));
  }

  /**
   * The process ends after so long: no request that is open or taken from now on may last longer.
   */
  public void capDeadlines(long nanos) {
    endsAt = clock.nowNanos() + nanos;
    table.values().stream()
        .filter(r -> !r.ended && r.deadline > endsAt)
        .forEach(r -> loop.schedule(() -> answerForModule(r), nanos, TimeUnit.NANOSECONDS));
  }

  public void clientDisconnected(String id) {
    OpenRequest r = table.get(id);
    if (r != null && end(r)) {
      counters.clientDisconnected();
      tell(new ClientDisconnected(id));
    }
  }

  /**
   * Guards against a module that leaves a request without its answer until the client's time is up.
   */
  private void answerForModule(OpenRequest r) {
    if (end(r)) {
      EventLog.infoRateLimited("answered for the module: " + r.request.requestId());
      giveUp(r);
      tell(new ClientDisconnected(r.request.requestId()));
    }
  }

  private void giveUp(OpenRequest r) {
    if (r.mayRefuse()) {
      refuse(r, 0);
    } else {
      fail(r);
    }
  }

  private void refuse(OpenRequest r, long retryAfterNanos) {
    if (r.attempts.isEmpty() && taking) {
      counters.requestRejectedOnArrival();
    } else {
      counters.requestRejectedLater();
    }
    r.client.sendRejection(retryAfterNanos);
  }

  private void fail(OpenRequest r) {
    counters.requestFailed();
    r.client.sendFailure();
  }

  /** Answers all that is open, for an end that leaves no time. */
  public void completeAllRequests() {
    for (OpenRequest r : List.copyOf(table.values())) {
      if (end(r)) {
        giveUp(r);
      }
    }
  }

  /** True once: the caller then owes the client the only final answer. */
  private boolean end(OpenRequest r) {
    if (r.ended) {
      return false;
    }
    r.ended = true;
    r.guard.cancel(false);
    over.add(r);
    return true;
  }

  // ---- The list of upstreams
  // ----------------------------------------------------------------------------

  public void updateEndpoints(EndpointList list) {
    updateEndpoints(
        list.full() ? EndpointListUpdate.Kind.FULL : EndpointListUpdate.Kind.DELTA, list);
  }

  private void updateEndpoints(EndpointListUpdate.Kind kind, EndpointList list) {
    if (kind == EndpointListUpdate.Kind.DELTA) {
      upstreams.applyChanges(list.endpoints());
    } else {
      upstreams.applyFullList(list.endpoints());
    }
    tell(
        new EndpointListUpdate(
            kind, list.endpoints().stream().map(EndpointList.Host::descriptor).toList()));
  }

  public void endpointWatchFailed() {
    tell(new EndpointListUpdate(EndpointListUpdate.Kind.FAILED, List.of()));
  }

  // ---- The module
  // ---------------------------------------------------------------------------------------

  /** Events wait in line while one is handled: an action may end at once in an event of its own. */
  private void tell(Event event) {
    events.add(event);
    if (handling) {
      return;
    }
    handling = true;
    try {
      for (Event next = events.poll(); next != null; next = events.poll()) {
        taking = next instanceof RequestArrived;
        module.handle(clock.nowNanos(), next, this::perform);
      }
      over.stream().filter(OpenRequest::over).forEach(r -> table.remove(r.request.requestId(), r));
      over.clear();
    } catch (RuntimeException e) {
      defect.accept(e);
    } finally {
      handling = false;
    }
  }

  /**
   * Exhaustive over the kinds of action; those that this module never emits are an error that names
   * them.
   */
  private void perform(Action action) {
    if (action instanceof ForwardAttempt a) {
      send(a);
    } else if (action instanceof CancelAttempt a) {
      cancel(a);
    } else if (action instanceof RejectRequest a) {
      OpenRequest r = table.get(a.requestId());
      if (r != null && end(r)) {
        refuse(r, a.retryAfterNanos());
      }
    } else if (action instanceof FailRequest a) {
      OpenRequest r = table.get(a.requestId());
      if (r != null && end(r)) {
        fail(r);
      }
    } else if (action instanceof SetTimer a) {
      loop.schedule(
          () -> tell(new TimerFired(a.timerId())),
          Math.max(0, a.fireAtNanos() - clock.nowNanos()),
          TimeUnit.NANOSECONDS);
    } else if (action instanceof WatchEndpoints a) {
      watch.accept(a.enabled());
    } else if (action instanceof LogMessage a) {
      EventLog.infoRateLimited("module: " + a.text());
    } else {
      throw new IllegalStateException(
          "the module asked for what this balancer has no use of: "
              + action.getClass().getSimpleName());
    }
  }

  private void send(ForwardAttempt a) {
    OpenRequest r = table.get(a.requestId());
    UpstreamEndpoint upstream = upstreams.find(a.endpointId());
    if (r == null || upstream == null) {
      throw new IllegalStateException(
          "the module sent an unknown request or to an unknown upstream");
    }
    long now = clock.nowNanos();
    long left = r.deadline - now;
    boolean counts = r.attempts.size() < settings.limits().maxAttempts();
    AttemptPlan plan =
        new AttemptPlan(
            r.attempts.size(),
            a.endpointId(),
            r.request,
            now,
            a.timeoutNanos() == 0 ? left : Math.min(a.timeoutNanos(), left),
            () -> counts && maySend(r, upstream));
    UpstreamAttempt attempt =
        new UpstreamAttempt(
            plan,
            upstream.pool(),
            clock,
            (ended, status, answer) -> {
              upstreams.attemptCompleted(upstream);
              ended(r, upstream, ended, status, answer);
            });
    upstreams.attemptStarted(upstream);
    r.attempts.add(attempt);
    attempt.start(loop);
  }

  /**
   * Asked of the client's socket, since its end may still be unread: the loop that is behind sees
   * it late.
   */
  private boolean maySend(OpenRequest r, UpstreamEndpoint upstream) {
    if (!r.ended && !r.client.isConnected() && end(r)) {
      counters.clientDisconnected();
    }
    return !r.ended && !upstream.isDraining() && r.repeatIsHarmless(clock.nowNanos());
  }

  private void cancel(CancelAttempt a) {
    OpenRequest r = table.get(a.requestId());
    if (r != null && a.attempt() < r.attempts.size()) {
      r.attempts.get(a.attempt()).complete(AttemptStatus.CANCELLED, null);
    }
  }

  private void ended(
      OpenRequest r,
      UpstreamEndpoint upstream,
      UpstreamAttempt attempt,
      AttemptStatus status,
      UpstreamResponse answer) {
    if (status == AttemptStatus.SERVED && end(r)) {
      r.client.sendResponse(answer);
    }
    over.add(r);
    long latency = attempt.latencyNanos(clock.nowNanos() - lag.meanReadDelayNanos());
    counters.attemptCompleted(
        new CompletedAttempt(
            attempt.address(),
            categoryOf(upstream.descriptor()),
            status,
            attempt.foundStaleConnection(),
            attempt.timeToFirstByteNanos(),
            latency));
    counters.loopLagMeasured(lag.lagNanos());
    tell(
        new AttemptCompleted(
            r.request.requestId(),
            attempt.index(),
            attempt.endpointId(),
            status,
            latency,
            r.ended,
            Map.of(),
            attempt.foundStaleConnection()));
  }

  private EndpointCategory categoryOf(EndpointDescriptor upstream) {
    if (clock.nowNanos() - upstream.startedNanos() < settings.serviceRules().warmUpNanos()) {
      return EndpointCategory.WARMING_UP;
    }
    return upstream.zone().equals(settings.zone())
        ? EndpointCategory.LOCAL_ZONE
        : EndpointCategory.REMOTE_ZONE;
  }
}
