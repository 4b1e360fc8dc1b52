package loadbalancer.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;
import loadbalancer.policy.SlidingWindow.Metric;
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
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.event.ResponseStarted;
import loadbalancer.policy.event.TimerFired;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestClass;

/**
 * Every decision of a balancer; its interface is in Balancer.java. Ordinary path: {@link #admit}
 * refuses what exceeds the key's allowed rate, {@link #place} picks an upstream by bounded load,
 * {@link #send} starts the attempt, {@link #learn} takes its latency.
 */
public final class AdaptiveLoadBalancingPolicy implements LoadBalancingPolicy {

  private static final long MS = 1_000_000L;
  private static final long SECOND = 1000 * MS;

  /**
   * Time out of a balancer's hands that is not the attempt's latency counts from so many ticks on.
   */
  private static final int OURS_TICKS = 3;

  /**
   * A request without an upstream is held for this part of its aim, then refused: still early. And
   * held ones tried in vain after an outcome: bounds the work where nothing has room.
   */
  private static final double HOLD_PART = 0.3;

  private static final int HELD_TRIES = 4;

  /**
   * Second copies earned by an admission and by a copy that wins, and the most saved: losing ones
   * stop.
   */
  private static final double HEDGE_SHARE = 0.01;

  private static final double HEDGE_WIN = 1.3;
  private static final double HEDGE_MOST = 20;

  /** Retries earned by a request admitted: failures may add a fifth to the load. */
  private static final double RETRY_SHARE = 0.2;

  /**
   * Period of the sweep while requests are held: short against any aim, long against a tick. And
   * while attempts are out, in parts of the shortest aim: a timer costs as much as a request.
   */
  private static final long SWEEP = 10 * MS;

  private static final int SWEEPS_PER_AIM = 8;

  /**
   * Back-off of calls for the list, a service that all balancers share. What a silent watch misses
   * counts as told 6 s after it fell silent, which is noticed after 4.5 s; half a second has to be
   * left for the call. And where it is pushed, in parts of the drain grace: what came meanwhile
   * counts as told, and who is asked then has no others to serve.
   */
  private static final long ASK_FIRST = SECOND / 2;

  private static final long ASK_MOST = 6 * SECOND - 9 * SECOND / 2 - SECOND / 2;
  private static final double ASK_PUSHED = 0.2;

  private final PolicySettings settings;
  private final SplittableRandom random;
  private final long shortestAim;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final TrafficStatistics traffic;
  private final TenantQuotas quotas;
  private final LoadEstimator loadEstimator = new LoadEstimator();
  private final AdmissionController admission;
  private final EndpointRegistry registry;
  private final InFlightTime inFlightTime;
  private final OutlierDetector outlierDetector;
  private final SlowStart slowStart;
  private final RetrySafety retrySafety;
  private final BoundedLoadPlacement placement;
  private final Map<String, PendingRequest> open = new LinkedHashMap<>();

  /** Requests without an attempt out, the most valuable first, then the oldest. */
  private final TreeSet<PendingRequest> held =
      new TreeSet<>(
          Comparator.<PendingRequest>comparingDouble(r -> -value(r))
              .thenComparingLong(r -> r.arrivedAtNanos)
              .thenComparing(r -> r.request.requestId()));

  private double retryTokens = 1;
  private double hedgeTokens = HEDGE_MOST;
  private long sweepAt = Long.MAX_VALUE;
  private long sweptAt;

  private int askFailures;
  private long askAt = Long.MAX_VALUE;
  private long now;
  private Consumer<Action> out;

  /** Makes the decisions of one balancer; the seed is its only source of randomness. */
  public AdaptiveLoadBalancingPolicy(PolicySettings settings, long seed) {
    this.settings = settings;
    random = new SplittableRandom(seed);
    settings.requestClasses().forEach(c -> classes.put(c.name(), c));
    LatencyObjectives objectives = LatencyObjectives.of(settings.requestClasses());
    shortestAim = objectives.shortestNanos();
    long window = objectives.statisticsWindowNanos();
    registry = new EndpointRegistry(settings, objectives, random);
    inFlightTime = new InFlightTime(objectives.shortestNanos() / 2.0);
    traffic = new TrafficStatistics(window);
    quotas = new TenantQuotas(settings.tenants(), settings.groupSize());
    admission =
        new AdmissionController(
            traffic, quotas, registry, inFlightTime, settings.overQuotaWeight());
    outlierDetector = new OutlierDetector(registry, objectives, random);
    slowStart = new SlowStart(settings.serviceRules(), settings.groupSize(), registry, traffic);
    retrySafety = new RetrySafety(settings.clockResolutionNanos());
    placement =
        new BoundedLoadPlacement(
            random,
            registry,
            new BoundedLoadPlacement.Rules(
                new KeySpread(settings.endpointsCacheKeys(), registry, traffic, inFlightTime),
                new LoadBound(registry, inFlightTime, new ConcurrencyLimit(window)),
                slowStart,
                outlierDetector,
                retrySafety));
  }

  @Override
  public void handle(long nowNanos, Event event, Consumer<Action> actions) {
    now = nowNanos;
    out = actions;
    if (event instanceof RequestArrived e) {
      onRequest(e);
    } else if (event instanceof AttemptCompleted e) {
      onOutcome(e);
    } else if (event instanceof TimerFired && now >= sweepAt - MS) {
      // A balancer's timers may be coarser than the clock; one fired a little early must not end
      // the sweeps.
      sweepAt = Long.MAX_VALUE;
      onSweep();
    } else if (event instanceof EndpointListUpdate e) {
      onList(e);
    } else if (event instanceof ClientDisconnected e
        && open.containsKey(e.requestId())
        && !open.get(e.requestId()).isFinal) {
      release(open.get(e.requestId()));
    } else if (event instanceof ResponseStarted e && open.get(e.requestId()) != null) {
      open.get(e.requestId()).isStreaming = true;
    }
  }

  private void sweepBy(long at) {
    if (at < sweepAt) {
      sweepAt = at;
      out.accept(new SetTimer("sweep", at));
    }
  }

  /** The next look at a request with an attempt out: to see silence, and in time for its end. */
  private void watch(PendingRequest r) {
    long end = r.request.deadlineNanos() + settings.serviceRules().responseSlackNanos() / 2;
    sweepBy(Math.max(now + MS, Math.min(end, now + Math.max(SWEEP, shortestAim / SWEEPS_PER_AIM))));
  }

  private void onRequest(RequestArrived request) {
    RequestClass type = classes.get(request.className());
    if (type == null) {
      out.accept(
          new LogMessage(
              "admission: request rejected reason=unknown_class class=" + request.className()));
      out.accept(new RejectRequest(request.requestId(), retryAfter()));
      return;
    }
    boolean isOverQuota = !quotas.tryAcquire(request.tenant(), now);
    TrafficWindows windows = traffic.windowsOf(request, isOverQuota, now);
    PendingRequest r =
        new PendingRequest(
            request, type, now, loadEstimator.loadOf(request.workHintNanos()), windows);
    if (open.size() >= settings.limits().maxOpenRequests() || !admission.admit(r, now, out)) {
      out.accept(new RejectRequest(request.requestId(), retryAfter()));
      return;
    }
    open.put(request.requestId(), r);
    // No more saved than a window earns: a fixed number at hundreds of balancers would be the
    // overload.
    double saved = Math.max(1, RETRY_SHARE * traffic.fleetTotal(Metric.OFFERED, now));
    retryTokens = Math.min(saved, retryTokens + RETRY_SHARE);
    hedgeTokens = Math.min(HEDGE_MOST, hedgeTokens + HEDGE_SHARE);
    advance(r);
  }

  /** How many sliding windows are tracked by name. */
  int trackedWindows() {
    return traffic.trackedWindows();
  }

  private double value(PendingRequest r) {
    return r.requestClass.priorityWeight() * (r.isOverQuota() ? settings.overQuotaWeight() : 1);
  }

  private long retryAfter() {
    return settings.limits().retryAfter()
        ? random.nextLong(settings.limits().maxRetryAfterNanos() + 1)
        : 0;
  }

  // ---- Life of a request
  // --------------------------------------------------------------------------------

  /**
   * Sends a request that has no attempt out, or ends it, or holds it; true if it was sent or ended.
   */
  private boolean advance(PendingRequest r) {
    boolean first = r.attempts.isEmpty();
    boolean over =
        r.attempts.size() >= settings.limits().maxAttempts()
            || !first && retryTokens < 1
            || !retrySafety.mayForward(r)
            || now >= r.request.deadlineNanos() - 2 * SWEEP;
    Endpoint u = over ? null : placement.place(r, now);
    if (u != null) {
      retryTokens -= first ? 0 : 1;
      held.remove(r);
      send(r, u);
    } else if (over
        || first && now >= r.arrivedAtNanos + HOLD_PART * r.requestClass.latencyObjectiveNanos()
        || !first && registry.readyCount() == 0) {
      finish(r);
    } else {
      held.add(r);
      sweepBy(now + SWEEP);
      return false;
    }
    return true;
  }

  private void send(PendingRequest r, Endpoint u) {
    r.attempts.add(new Attempt(u, now, inFlightTime.charge(u, r.load, now)));
    r.inFlight++;
    outlierDetector.beforeAttempt(u, now);
    registry.attemptStarted(u, r.load);
    slowStart.attemptStarted(u, r.load, now);
    out.accept(new ForwardAttempt(r.request.requestId(), u.id, r.request.deadlineNanos() - now));
    watch(r);
  }

  /**
   * A second copy past a silent upstream; none with the fleet above minValue: they would be its
   * overload.
   */
  private void hedge(PendingRequest r) {
    boolean mayCopy =
        r.inFlight == 1
            && settings.limits().hedging()
            && settings.limits().cancellation()
            && r.attempts.size() < settings.limits().maxAttempts()
            && hedgeTokens >= 1
            && outlierDetector.isUnresponsive(r.attempts.get(r.attempts.size() - 1).endpoint, now)
            && now
                < Math.min(
                    r.request.deadlineNanos(),
                    r.arrivedAtNanos + r.requestClass.latencyObjectiveNanos())
            && traffic.isFleetHealthy(now);
    Endpoint u = mayCopy ? placement.place(r, now) : null;
    if (u != null) {
      hedgeTokens--;
      send(r, u);
    }
  }

  private void finish(PendingRequest r) {
    out.accept(
        retrySafety.mayReject(r)
            ? new RejectRequest(r.request.requestId(), retryAfter())
            : new FailRequest(r.request.requestId()));
    release(r);
  }

  /** The request has its final answer: stops what it still has out, forgets it once nothing is. */
  private void release(PendingRequest r) {
    r.isFinal = true;
    held.remove(r);
    if (r.inFlight == 0) {
      open.remove(r.request.requestId());
    }
    for (int i = 0; i < r.attempts.size() && settings.limits().cancellation(); i++) {
      if (r.attempts.get(i).isInFlight) {
        out.accept(new CancelAttempt(r.request.requestId(), i));
      }
    }
  }

  private void onOutcome(AttemptCompleted o) {
    PendingRequest r = open.get(o.requestId());
    if (r == null || o.attempt() >= r.attempts.size() || !r.attempts.get(o.attempt()).isInFlight) {
      return;
    }
    Attempt a = r.attempts.get(o.attempt());
    a.isInFlight = false;
    a.mayHaveRun = !o.status().provesNotRun();
    registry.attemptCompleted(a.endpoint, r.load);
    outlierDetector.attemptCompleted(a.endpoint, now);
    r.inFlight--;
    inFlightTime.settle(a, r.requestClass, o, now);
    learn(r, a, o);
    if (r.isFinal && r.inFlight == 0) {
      open.remove(o.requestId());
    } else if (!r.isFinal && o.requestFinished()) {
      hedgeTokens =
          Math.min(HEDGE_MOST, hedgeTokens + (r.inFlight > 0 && o.attempt() > 0 ? HEDGE_WIN : 0));
      release(r);
    } else if (!r.isFinal && r.inFlight == 0) {
      advance(r);
    }
    int tries = HELD_TRIES;
    for (var h = held.isEmpty() ? null : held.first(); h != null && tries > 0; h = held.higher(h)) {
      tries -= advance(h) ? 0 : 1;
    }
  }

  private void learn(PendingRequest r, Attempt a, AttemptCompleted o) {
    Endpoint u = a.endpoint;
    long ours = ours(a, o);
    if (o.status() == AttemptStatus.SERVED) {
      outlierDetector.recordSuccess(u);
      u.responses.record(r, o.latencyNanos(), ours, now);
      traffic.addSample(
          r.windows,
          (double) (now - r.arrivedAtNanos - ours) / r.requestClass.latencyObjectiveNanos(),
          now);
      inFlightTime.recordLatency(o.latencyNanos());
    } else if (o.foundStaleConnection()) {
      // No sign of the upstream: kept connections break in a row, and three would eject one that is
      // well.
      // A crash breaks them too, but then the next connects are refused, which counts.
      traffic.addSample(
          r.windows,
          (double) (now - r.arrivedAtNanos - ours) / r.requestClass.latencyObjectiveNanos(),
          now);
    } else if (o.status() != AttemptStatus.CANCELLED && o.status() != AttemptStatus.NOT_SENT) {
      // One that turns all away holds nothing, so bounded load would send it more than any other:
      // it is
      // ejected as one that fails, though its refusals tell the line nothing.
      if (o.status() == AttemptStatus.RESET || o.status() == AttemptStatus.ERROR) {
        // Its latency, but no less than the aim that it missed, and for an error than what is
        // critical. More
        // would take connections that break, spoilt answers, or one upstream's errors for load.
        double least =
            o.status() == AttemptStatus.RESET
                ? 1
                : LatencyRateLimiter.CRITICAL_LATENCY_IN_OBJECTIVES;
        traffic.addSample(
            r.windows,
            Math.max(
                least, (double) (now - r.arrivedAtNanos) / r.requestClass.latencyObjectiveNanos()),
            now);
      } else if (o.status() == AttemptStatus.TIMEOUT) {
        // A time-out adds its limit, the one that the client set: its class's is twice as long, and
        // a tenth
        // of the attempts lost to what no refusal can mend would be taken for an overload of all.
        traffic.addSample(
            r.windows,
            (double) (now - r.arrivedAtNanos) / r.requestClass.latencyObjectiveNanos(),
            now);
      }
      outlierDetector.recordFailure(u, now);
    }
  }

  /**
   * What an attempt spent in this balancer, beside its latency: no upstream's work, so neither the
   * line nor the room may take it for that. A few ticks are the clock's own rounding.
   */
  private long ours(Attempt a, AttemptCompleted o) {
    long rest = now - a.forwardedAtNanos - o.latencyNanos();
    return rest <= OURS_TICKS * settings.clockResolutionNanos() ? 0 : rest;
  }

  private void onSweep() {
    double past = Math.min(SECOND, now - sweptAt);
    sweptAt = now;
    admission.updateHealthyLoad(past, now);
    slowStart.updateUsualRate(past, now);
    outlierDetector.updatePanic(now);
    for (PendingRequest r : List.copyOf(open.values())) {
      if (r.inFlight > 0 && !r.isFinal && !r.isStreaming) {
        if (now >= r.request.deadlineNanos() + settings.serviceRules().responseSlackNanos() / 2) {
          finish(r);
        } else {
          hedge(r);
          watch(r);
        }
      }
    }
    List.copyOf(held).forEach(this::advance);
    if (now >= askAt) {
      askAt = Long.MAX_VALUE;
      out.accept(new WatchEndpoints(true));
    }
    sweepBy(askAt);
  }

  // ---- Following the list
  // -------------------------------------------------------------------------------

  private void onList(EndpointListUpdate news) {
    if (news.kind() == EndpointListUpdate.Kind.FAILED) {
      // Full jitter, or all balancers would come back to the list service at once.
      long backoff =
          settings.endpointListPolled()
              ? Math.min(ASK_MOST, ASK_FIRST << Math.min(askFailures++, 10))
              : Math.max(SWEEP, (long) (ASK_PUSHED * settings.serviceRules().drainGraceNanos()));
      askAt = now + (long) (backoff * random.nextDouble());
      sweepBy(askAt);
      return;
    }
    if (news.kind() != EndpointListUpdate.Kind.CACHED) {
      askFailures = 0;
    } else if (settings.endpointListPolled()) {
      out.accept(new WatchEndpoints(true));
    }
    registry.apply(news, now);
  }
}
