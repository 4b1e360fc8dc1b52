package loadbalancer.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
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
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;

/**
 * Every decision of a balancer; its interface is in Balancer.java. Ordinary path: {@link #admit}
 * refuses what exceeds the key's allowed rate, {@link #place} picks an upstream by bounded load,
 * {@link #send} starts the attempt, {@link #learn} takes its latency.
 */
public final class AdaptiveLoadBalancingPolicy implements LoadBalancingPolicy {

  private static final long MS = 1_000_000L;
  private static final long SECOND = 1000 * MS;

  /** The line, in parts of the class's aim: half an aim is healthy, one and a half critical. */
  private static final double MIN_VALUE = 0.5;

  private static final double MAX_VALUE = 1.5;

  /**
   * maxRate is what the key was offered in the window and a tenth more; minRate this part of it.
   */
  private static final double HEADROOM = 1.1;

  private static final double MIN_PART = 0.02;

  /**
   * The line of worthless excess lies at this part of the latencies: gone before in-share work
   * suffers.
   */
  private static final double EXCESS_EARLY = 0.2;

  /**
   * A key with fewer samples goes by its endpoint (class, tenant, inside or over the quota), that
   * one by all work inside or over quotas, so many windows back: few samples would let every
   * window's first one pass.
   */
  private static final int ENOUGH = 10;

  private static final int REACH = 5;

  /**
   * Requests that a tenant's bucket holds at least: chance alone would call a small share's work
   * excess.
   */
  private static final double QUOTA_LEAST = 3;

  /** Keys kept; the one idle longest goes first. */
  private static final int MAX_KEYS = 20_000;

  /**
   * Windows that teach the usual in-flight (a crowd forms faster); step of usual latency and hint.
   */
  private static final double USUAL_WINDOWS = 2;

  private static final double USUAL_STEP = 0.005;

  /** Bounded load: an upstream may hold half more than the mean of in-flight requests. */
  private static final double SLACK = 0.5;

  /** The history may be this much above its mean. */
  private static final double HISTORY_SLACK = 1;

  /** A key goes to this many upstreams, and to this many times its share of all as well. */
  private static final int KEY_SPREAD = 2;

  private static final double KEY_PARTS = 2;

  /**
   * Room: in-flight requests at which the mean latency would be this part of the aim (Little's
   * law); never below the least, or no upstream could show that it is idle.
   */
  private static final double ROOM_PART = 0.36;

  private static final int ROOM_LEAST = 2;

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
   * Silent: no answer for this many usual gaps between its answers and this part of the shortest
   * aim.
   */
  private static final double SILENT_GAPS = 8;

  private static final double SILENT_PART = 0.3;

  /**
   * And so many times what attempts at it usually spend in this balancer: pauses are seldom even.
   */
  private static final double SILENT_OWN = 2;

  /**
   * Second copies earned by an admission and by a copy that wins, and the most saved: losing ones
   * stop.
   */
  private static final double HEDGE_SHARE = 0.01;

  private static final double HEDGE_WIN = 1.3;
  private static final double HEDGE_MOST = 20;

  /** Retries earned by a request admitted: failures may add a fifth to the load. */
  private static final double RETRY_SHARE = 0.2;

  /** A hinted request counts for this many mean ones at most, and no less than its inverse. */
  private static final double HINT_MOST = 4;

  /**
   * Period of the sweep while requests are held: short against any aim, long against a tick. And
   * while attempts are out, in parts of the shortest aim: a timer costs as much as a request.
   */
  private static final long SWEEP = 10 * MS;

  private static final int SWEEPS_PER_AIM = 8;

  /**
   * Failures in a row that eject an upstream, the first and the longest ejection. With more than
   * this share of the ready upstreams ejected or silent, both are ignored (panic threshold).
   */
  private static final int EJECT_AFTER = 3;

  private static final long EJECT_FIRST = SECOND / 2;
  private static final long EJECT_MOST = 8 * SECOND;
  private static final double PANIC_SHARE = 0.5;

  /**
   * Back-off of calls for the list, a service that all balancers share. What a silent watch misses
   * counts as told 6 s after it fell silent, which is noticed after 4.5 s; half a second has to be
   * left for the call. And where it is pushed, in parts of the drain grace: what came meanwhile
   * counts as told, and who is asked then has no others to serve.
   */
  private static final long ASK_FIRST = SECOND / 2;

  private static final long ASK_MOST = 6 * SECOND - 9 * SECOND / 2 - SECOND / 2;
  private static final double ASK_PUSHED = 0.2;

  /**
   * Share of the cold budget's window that may be saved; sends a second that a cold upstream may
   * always get from all balancers together, and so many saved; how long usual sends are kept:
   * longer than most outages.
   */
  private static final double SLOW_START_BURST = 0.25;

  private static final double SLOW_START_TRICKLE = 2;
  private static final long SENDS_KEPT = 30 * SECOND;

  private final PolicySettings settings;
  private final SplittableRandom random;
  private final long window;
  private final long shortestAim;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Map<String, Double> quotas = new HashMap<>();
  private final Map<String, TokenBucket> quotaTokens = new HashMap<>();
  private final EndpointRegistry registry;
  private final InFlightTime inFlightTime;
  private final Map<String, PendingRequest> open = new LinkedHashMap<>();

  /** Requests without an attempt out, the most valuable first, then the oldest. */
  private final TreeSet<PendingRequest> held =
      new TreeSet<>(
          Comparator.<PendingRequest>comparingDouble(r -> -value(r))
              .thenComparingLong(r -> r.arrivedAtNanos)
              .thenComparing(r -> r.request.requestId()));

  private final Map<String, SlidingWindow> windows = new LinkedHashMap<>(64, 0.75f, true);
  private final SlidingWindow fleet;
  private final SlidingWindow within;
  private final SlidingWindow over;
  private double usualInFlight = 1;
  private double usualSends;
  private double usualHint;
  private long visits;
  private double retryTokens = 1;
  private double hedgeTokens = HEDGE_MOST;
  private long sweepAt = Long.MAX_VALUE;
  private long sweptAt;
  private boolean panic;

  /** When the line first refused since its mean was healthy; 0 while it is. */
  private long refusedSince;

  private int refusedInRow;
  private int askFailures;
  private long askAt = Long.MAX_VALUE;
  private long now;
  private Consumer<Action> out;

  /** Makes the decisions of one balancer; the seed is its only source of randomness. */
  public AdaptiveLoadBalancingPolicy(PolicySettings settings, long seed) {
    this.settings = settings;
    random = new SplittableRandom(seed);
    settings.requestClasses().forEach(c -> classes.put(c.name(), c));
    settings
        .tenants()
        .forEach(t -> quotas.put(t.name(), t.quotaPerSecond() / settings.groupSize()));
    LatencyObjectives objectives = LatencyObjectives.of(settings.requestClasses());
    shortestAim = objectives.shortestNanos();
    window = objectives.statisticsWindowNanos();
    registry = new EndpointRegistry(settings, objectives, random);
    inFlightTime = new InFlightTime(objectives.shortestNanos() / 2.0);
    fleet = new SlidingWindow(window, REACH, 0);
    within = new SlidingWindow(window, REACH, 0);
    over = new SlidingWindow(window, REACH, 0);
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

  // ---- Admission: the straight line
  // ---------------------------------------------------------------------

  /** The published line: from maxRate at or below minValue down to minRate at or above maxValue. */
  static double allowedRate(
      double mean, double minValue, double maxValue, double maxRate, double minRate) {
    double part = Math.min(1, Math.max(0, (mean - minValue) / (maxValue - minValue)));
    return maxRate + part * (minRate - maxRate);
  }

  private void onRequest(RequestArrived request) {
    RequestClass type = classes.get(request.className());
    if (type == null) {
      out.accept(new LogMessage("refused a request of unknown class " + request.className()));
      out.accept(new RejectRequest(request.requestId(), retryAfter()));
      return;
    }
    boolean excess = overQuota(request.tenant());
    String name = request.className() + ' ' + request.tenant() + (excess ? " over" : "");
    TrafficWindows windows =
        new TrafficWindows(
            excess, excess ? over : within, windowOf(name), windowOf(name + ' ' + request.key()));
    PendingRequest r =
        new PendingRequest(request, type, now, load(request.workHintNanos()), windows);
    if (open.size() >= settings.limits().maxOpenRequests() || !admit(r)) {
      out.accept(new RejectRequest(request.requestId(), retryAfter()));
      return;
    }
    open.put(request.requestId(), r);
    // No more saved than a window earns: a fixed number at hundreds of balancers would be the
    // overload.
    double saved = Math.max(1, RETRY_SHARE * fleet.total(now, Metric.OFFERED));
    retryTokens = Math.min(saved, retryTokens + RETRY_SHARE);
    hedgeTokens = Math.min(HEDGE_MOST, hedgeTokens + HEDGE_SHARE);
    advance(r);
  }

  /**
   * This balancer's part of a tenant's quota is a bucket of a second; what finds it empty is
   * excess.
   */
  private boolean overQuota(String tenant) {
    double rate = tenant == null ? 0 : quotas.getOrDefault(tenant, 0.0);
    if (rate == 0) {
      return false;
    }
    TokenBucket quota = quotaTokens.computeIfAbsent(tenant, k -> new TokenBucket());
    boolean over = quota.refill(now, rate, Math.max(QUOTA_LEAST, rate)) < 1;
    if (!over) {
      quota.take(1);
    }
    return over;
  }

  /**
   * Guards the memory where most keys are new: a window that has forgotten all it counted is
   * dropped.
   */
  private SlidingWindow windowOf(String name) {
    SlidingWindow w = windows.computeIfAbsent(name, k -> new SlidingWindow(window, now));
    Iterator<SlidingWindow> idlest = windows.values().iterator();
    for (SlidingWindow idle = idlest.next();
        idle != w && (idle.isEmpty(now) || windows.size() > MAX_KEYS);
        idle = idlest.next()) {
      idlest.remove();
    }
    return w;
  }

  int windowsKept() {
    return windows.size();
  }

  /**
   * Refuses at the allowed rate. A fleet-wide overload is nobody's key: the worse of the key's and
   * all means counts. Work over a quota is worth less, so its line falls sooner: a tenant throttles
   * itself first.
   */
  private boolean admit(PendingRequest r) {
    count(r, Metric.OFFERED, 1);
    SlidingWindow own =
        r.windows.key().total(now, Metric.SAMPLES) >= ENOUGH
            ? r.windows.key()
            : !sparse() || r.windows.classAndTenant().total(now, Metric.SAMPLES) >= ENOUGH
                ? r.windows.classAndTenant()
                : r.windows.quotaGroup();
    double mean = Math.max(own.mean(now, ENOUGH), fleet.mean(now, ENOUGH));
    double maxRate = own.totalWithLookback(now, Metric.OFFERED, ENOUGH) * HEADROOM;
    double early =
        r.isOverQuota() ? EXCESS_EARLY + (1 - EXCESS_EARLY) * settings.overQuotaWeight() : 1;
    double allowed =
        allowedRate(mean, MIN_VALUE * early, MAX_VALUE * early, maxRate, maxRate * MIN_PART);
    // Guards work inside a quota from what this balancer did not cause: no more is out than while
    // healthy.
    boolean idle =
        quotaTokens.containsKey(r.request.tenant())
            && registry.readyLoad() < usualInFlight * registry.readyCount();
    double admitted = own.totalWithLookback(now, Metric.ADMITTED, ENOUGH);
    // What it admits is all that the line learns from: it is never shut for longer than a mean
    // takes.
    boolean refused = admitted >= allowed && (r.isOverQuota() || !idle) && refusedInRow < ENOUGH;
    refusedInRow = refused ? refusedInRow + 1 : 0;
    if (refused && refusedSince == 0) {
      out.accept(
          new LogMessage(
              String.format(
                  Locale.ROOT,
                  "the line refuses: mean %.2f aims, own of %.0f samples; %.0f admitted, %.1f"
                      + " allowed, %.0f offered",
                  mean,
                  own.totalWithLookback(now, Metric.SAMPLES, ENOUGH),
                  admitted,
                  allowed,
                  own.totalWithLookback(now, Metric.OFFERED, ENOUGH))));
      refusedSince = now;
    } else if (!refused && refusedSince != 0 && mean <= MIN_VALUE * early) {
      out.accept(
          new LogMessage("the line admits all again after " + (now - refusedSince) / MS + " ms"));
      refusedSince = 0;
    }
    count(r, Metric.ADMITTED, refused ? 0 : 1);
    return !refused;
  }

  private void count(PendingRequest r, Metric metric, double amount) {
    r.windows.key().add(now, metric, amount);
    r.windows.classAndTenant().add(now, metric, amount);
    r.windows.quotaGroup().add(now, metric, amount);
    fleet.add(now, metric, amount);
  }

  private double value(PendingRequest r) {
    return r.requestClass.priorityWeight() * (r.isOverQuota() ? settings.overQuotaWeight() : 1);
  }

  /**
   * Load in mean requests by the hint: a few heavy ones fill an upstream that a count calls half
   * empty.
   */
  private double load(long hint) {
    usualHint += hint <= 0 ? 0 : (hint - usualHint) * (usualHint == 0 ? 1 : USUAL_STEP);
    return hint <= 0 ? 1 : Math.min(HINT_MOST, Math.max(1 / HINT_MOST, hint / usualHint));
  }

  private long retryAfter() {
    return settings.limits().retryAfter()
        ? random.nextLong(settings.limits().maxRetryAfterNanos() + 1)
        : 0;
  }

  // ---- Placement: bounded-load hashing on a ring of ready upstreams
  // -------------------------------------

  /**
   * The first upstream from the key's place on the ring that may take it, own zone first; or null.
   */
  private Endpoint place(PendingRequest r) {
    int start =
        registry
            .ring()
            .positionOf(r.request.key() == null ? "" + random.nextLong() : r.request.key());
    double all = inFlightTime.recentAttempts(now) + 1;
    double nearMost = Math.ceil((1 + HISTORY_SLACK) * all * registry.localEndpointFraction());
    double awayMost = Math.ceil((1 + HISTORY_SLACK) * all / Math.max(1, registry.readyCount()));
    // Guards against keys that leave their warm upstreams in a crowd: each move is work, and so
    // more crowd.
    double part =
        r.windows.key().total(now, Metric.OFFERED) / Math.max(1, fleet.total(now, Metric.OFFERED));
    double most =
        sparse() || !settings.endpointsCacheKeys()
            ? registry.readyCount()
            : KEY_SPREAD + Math.ceil(KEY_PARTS * registry.readyCount() * part);
    Endpoint startingAway = null;
    Endpoint away = null;
    Endpoint crowded = null;
    visits++;
    for (int i = 0, seen = 0, tried = 0; seen < registry.readyCount() && tried < most; i++) {
      Endpoint u = registry.ring().ownerAt(start + i);
      boolean again = u.lastWalk == visits;
      u.lastWalk = visits;
      seen += again ? 0 : 1;
      if (!again && mayGoTo(r, u) && usable(u)) {
        boolean hasRoom = u.load() < bound(u);
        double taken = inFlightTime.recentAttempts(u, now) + 0.5;
        boolean inSlowStart = warmth(u) < 1;
        boolean fits =
            hasRoom
                && (inSlowStart
                    || !sparse()
                    || taken < (registry.isLocal(u) ? nearMost : awayMost));
        if (registry.isLocal(u) && fits && (!inSlowStart || mayTake(u))) {
          return u;
        }
        tried += registry.isLocal(u) ? 1 : 0;
        // Asked last: one that earned a send and then was not needed would have saved it for a
        // burst.
        startingAway =
            inSlowStart && fits && !registry.isLocal(u) && startingAway == null && away == null
                ? u
                : startingAway;
        away = away == null && fits && !inSlowStart ? u : away;
        crowded = crowded == null && hasRoom && !inSlowStart ? u : crowded;
      }
    }
    return startingAway != null && mayTake(startingAway)
        ? startingAway
        : away == null ? crowded : away;
  }

  private boolean sparse() {
    return inFlightTime.isSparse(registry.readyCount(), now);
  }

  private boolean usable(Endpoint u) {
    return panic || u.ejectedUntil <= now && !u.onTrial && !silent(u);
  }

  private double bound(Endpoint u) {
    return Math.min(
        Math.max(1, Math.ceil((1 + SLACK) * (registry.readyLoad() + 1) / registry.readyCount())),
        room(u));
  }

  /**
   * Little's law: answers a second times the latency wanted and the time that they spend in this
   * balancer. Guards against bursts that wait in a queue past their aim; no bound before enough
   * answers, or a restarted balancer would starve itself; nor without its own time, or a slow
   * balancer would.
   */
  private double room(Endpoint u) {
    if (u.firstServed == 0
        || now - u.firstServed < window / 4 && u.window.total(now, Metric.SAMPLES) < ENOUGH) {
      return Double.MAX_VALUE;
    }
    long served = Math.min(window / 2, Math.max(SWEEP, now - u.firstServed));
    return Math.max(
        ROOM_LEAST,
        (ROOM_PART * u.window.total(now, Metric.OBJECTIVE) * SECOND
                + u.window.total(now, Metric.LOCAL_DELAY))
            / served);
  }

  /**
   * Nothing heard for far longer than its answers usually lie apart: frozen or dead, before a
   * time-out. What attempts spend in this balancer is its own silence: a slow one would copy and
   * shut out what is well, and be slower still. Hurts where it is slow and an upstream dies at
   * once: seen so much later.
   */
  private boolean silent(Endpoint u) {
    double gap = u.window.mean(now, 1) / Math.max(1, u.inFlight());
    double own =
        u.window.total(now, Metric.LOCAL_DELAY) / Math.max(1, u.window.total(now, Metric.SAMPLES));
    return u.inFlight() > 0
        && gap > 0
        && now - u.heardAt
            > Math.max(SILENT_GAPS * gap, SILENT_PART * shortestAim) + SILENT_OWN * own;
  }

  // ---- Rule 2: where a request may still go
  // -------------------------------------------------------------

  private boolean mayGoTo(PendingRequest r, Endpoint u) {
    for (Attempt a : r.attempts) {
      if (a.endpoint == u && (a.isInFlight || registry.readyCount() > r.attempts.size())) {
        return false;
      }
      if (a.mayHaveRun && r.requestClass.effect() != RequestEffect.IDEMPOTENT) {
        // The window is cut by a tick, against a balancer that carries the sending out a moment
        // later.
        if (r.requestClass.effect() == RequestEffect.NOT_IDEMPOTENT
            || !r.requestClass.deduplicationScope().covers(a.endpoint.descriptor(), u.descriptor())
            || now - a.forwardedAtNanos
                >= r.requestClass.deduplicationWindowNanos() - settings.clockResolutionNanos()) {
          return false;
        }
      }
    }
    return true;
  }

  private boolean mayRefuse(PendingRequest r) {
    return r.requestClass.effect() == RequestEffect.IDEMPOTENT
        || !r.mayHaveRun()
        || r.requestClass.effect() == RequestEffect.IDEMPOTENT_WITH_KEY
            && r.requestClass.deduplicationScope() == DeduplicationScope.ALL;
  }

  // ---- Rule 4: slow start
  // --------------------------------------------------------------------------------

  /** The part of its capacity that an upstream surely has: from cold-from, evenly, to the whole. */
  private double warmth(Endpoint u) {
    double part =
        Math.max(0, now - u.startedAtNanos())
            / (double) Math.max(1, settings.serviceRules().warmUpNanos());
    return u.startedAtNanos() <= 0 || part >= 1
        ? 1
        : settings.serviceRules().initialCapacityFraction() * (1 - part) + part;
  }

  /**
   * Whether a cold upstream takes a request that would be sent to it. Each such request earns its
   * warmth's part of a send while the budget lasts, and a whole one sends. Guards against what all
   * balancers save in a lull: a whole token at each of a hundred is a hundred requests at once, and
   * more than it stands.
   */
  private boolean mayTake(Endpoint u) {
    double part = Math.min(slowStartPart(u), slowStartTokens(u));
    u.slowStart.take(part);
    u.slowStartEarned += part;
    return u.slowStartEarned >= 1;
  }

  /**
   * What a request earns at most, and what is saved for it: few balancers may save more each than
   * many.
   */
  private double slowStartPart(Endpoint u) {
    return Math.min(1, Math.max(warmth(u), SLOW_START_TRICKLE / settings.groupSize()));
  }

  /**
   * Sends that a cold upstream may still earn: its warmth's part of what a warm one usually gets,
   * most of it from its zone. The trickle guards against a fleet that is cold all at once and would
   * wait for traffic to be allowed any.
   */
  private double slowStartTokens(Endpoint u) {
    double usual =
        usualSends
            * (registry.isLocal(u)
                ? registry.localEndpointFraction()
                : 1.0 / Math.max(1, registry.readyCount()));
    double rate = Math.max(SLOW_START_TRICKLE / settings.groupSize(), warmth(u) * usual);
    double seconds = SLOW_START_BURST * settings.serviceRules().overloadWindowNanos() / SECOND;
    return u.slowStart.refill(now, rate, Math.max(slowStartPart(u), rate * seconds));
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
            || r.requestClass.effect() == RequestEffect.NOT_IDEMPOTENT && r.mayHaveRun()
            || now >= r.request.deadlineNanos() - 2 * SWEEP;
    Endpoint u = over ? null : place(r);
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
    u.heardAt = u.inFlight() == 0 ? now : u.heardAt;
    registry.attemptStarted(u, r.load);
    u.onTrial = u.ejections > 0;
    u.slowStartEarned -= warmth(u) < 1 ? r.load : 0;
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
            && silent(r.attempts.get(r.attempts.size() - 1).endpoint)
            && now
                < Math.min(
                    r.request.deadlineNanos(),
                    r.arrivedAtNanos + r.requestClass.latencyObjectiveNanos())
            && fleet.mean(now, ENOUGH) <= MIN_VALUE;
    Endpoint u = mayCopy ? place(r) : null;
    if (u != null) {
      hedgeTokens--;
      send(r, u);
    }
  }

  private void finish(PendingRequest r) {
    out.accept(
        mayRefuse(r)
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
    a.endpoint.heardAt = now;
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
    u.onTrial = false;
    long ours = ours(a, o);
    if (o.status() == AttemptStatus.SERVED) {
      u.failures = 0;
      u.ejections = 0;
      u.firstServed = u.firstServed == 0 ? now : u.firstServed;
      u.window.add(now, Metric.OBJECTIVE, r.load * r.requestClass.latencyObjectiveNanos() / SECOND);
      u.window.add(now, Metric.SAMPLES, 1);
      u.window.add(now, Metric.LATENCY, r.load * o.latencyNanos());
      u.window.add(now, Metric.LOCAL_DELAY, r.load * ours);
      sample(r, (double) (now - r.arrivedAtNanos - ours) / r.requestClass.latencyObjectiveNanos());
      inFlightTime.recordLatency(o.latencyNanos());
    } else if (o.foundStaleConnection()) {
      // No sign of the upstream: kept connections break in a row, and three would eject one that is
      // well.
      // A crash breaks them too, but then the next connects are refused, which counts.
      sample(r, (double) (now - r.arrivedAtNanos - ours) / r.requestClass.latencyObjectiveNanos());
    } else if (o.status() != AttemptStatus.CANCELLED && o.status() != AttemptStatus.NOT_SENT) {
      // One that turns all away holds nothing, so bounded load would send it more than any other:
      // it is
      // ejected as one that fails, though its refusals tell the line nothing.
      if (o.status() == AttemptStatus.RESET || o.status() == AttemptStatus.ERROR) {
        // Its latency, but no less than the aim that it missed, and for an error than what is
        // critical. More
        // would take connections that break, spoilt answers, or one upstream's errors for load.
        double least = o.status() == AttemptStatus.RESET ? 1 : MAX_VALUE;
        sample(
            r,
            Math.max(
                least, (double) (now - r.arrivedAtNanos) / r.requestClass.latencyObjectiveNanos()));
      } else if (o.status() == AttemptStatus.TIMEOUT) {
        // A time-out adds its limit, the one that the client set: its class's is twice as long, and
        // a tenth
        // of the attempts lost to what no refusal can mend would be taken for an overload of all.
        sample(r, (double) (now - r.arrivedAtNanos) / r.requestClass.latencyObjectiveNanos());
      }
      if (++u.failures >= EJECT_AFTER && u.ejectedUntil <= now) {
        long backoff = Math.min(EJECT_MOST, EJECT_FIRST << Math.min(u.ejections++, 10));
        u.ejectedUntil = now + (long) (backoff * (0.5 + random.nextDouble() / 2));
      }
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

  private void sample(PendingRequest r, double part) {
    count(r, Metric.SAMPLES, 1);
    count(r, Metric.LATENCY, part);
  }

  private void onSweep() {
    double past = Math.min(SECOND, now - sweptAt);
    sweptAt = now;
    if (fleet.mean(now, ENOUGH) <= MIN_VALUE) {
      usualInFlight +=
          (registry.readyLoad() / Math.max(1, registry.readyCount()) - usualInFlight)
              * past
              / (USUAL_WINDOWS * window);
    }
    usualSends =
        Math.max(
            usualSends * (1 - past / SENDS_KEPT),
            fleet.total(now, Metric.ADMITTED) * SECOND / window);
    long bad =
        registry.endpoints().stream()
            .filter(u -> u.isReady() && (u.ejectedUntil > now || silent(u)))
            .count();
    panic = bad > PANIC_SHARE * registry.readyCount();
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
