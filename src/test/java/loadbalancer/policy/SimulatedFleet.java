package loadbalancer.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.event.TimerFired;
import loadbalancer.policy.settings.Costs;
import loadbalancer.policy.settings.Limits;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.ServiceRules;
import loadbalancer.policy.settings.WeightKind;

/**
 * Many instances that share nothing but the clock, upstreams of two cores that fall to nothing, and
 * a book on the sends to the cold ones.
 */
final class SimulatedFleet {

  static final long MS = 1_000_000L;
  static final long SECOND = 1000 * MS;
  static final int UPSTREAMS = 12;
  private static final int CORES = 2;
  private static final long WORK = 50 * MS;

  /** Mean requests a second that a warm upstream can do, and usually gets. */
  static final double CAPACITY = CORES * (double) SECOND / WORK;

  static final double USUAL = 0.6 * CAPACITY;

  /** A twentieth of the requests is this heavy; the rest makes the mean 1. */
  private static final double HEAVY = 4;

  private static final double HEAVY_SHARE = 0.05;

  private record Step(long at, long number, Runnable run) {}

  private record Sent(long at, double work) {}

  private static final class Pending {
    final double work;
    final long deadline;
    int attempts;
    boolean served;

    Pending(double work, long deadline) {
      this.work = work;
      this.deadline = deadline;
    }
  }

  /** By id: unique over the whole fleet, and over a balancer's restarts. */
  private final Map<String, Pending> pending = new HashMap<>();

  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
  private final LoadBalancingPolicy[] balancers;
  private final int[] lives;
  private final long[][] free = new long[UPSTREAMS][CORES];
  private final EndpointDescriptor[] listed = new EndpointDescriptor[UPSTREAMS];
  private final Map<Long, List<Sent>> toCold = new TreeMap<>();
  private final Map<Long, AttemptStatus> broken = new HashMap<>();
  private final SplittableRandom random;
  private final ServiceRules contract;
  private final boolean priced;
  private final long start = 1000 * SECOND;
  private long now = start;
  private long numbers;
  private long ids;

  /** The traffic at so many seconds, in parts of the usual. */
  DoubleUnaryOperator traffic = t -> 1;

  SimulatedFleet(int group, ServiceRules contract, boolean priced, long seed) {
    this.contract = contract;
    this.priced = priced;
    random = new SplittableRandom(seed);
    balancers = new LoadBalancingPolicy[group];
    lives = new int[group];
    for (int i = 0; i < UPSTREAMS; i++) {
      listed[i] =
          new EndpointDescriptor(i, "abcd".charAt(i % 4) + "", i, EndpointStatus.READY, 0, 1);
    }
    for (int i = 0; i < group; i++) {
      begin(i);
    }
    arrive();
  }

  static ServiceRules contract(
      double initialCapacityFraction, long warmWithin, double overloadMultiple, long fallWindow) {
    return new ServiceRules(
        8 * MS, 0, 250 * MS, initialCapacityFraction, warmWithin, overloadMultiple, fallWindow);
  }

  private void at(long when, Runnable run) {
    steps.add(new Step(Math.max(now, when), numbers++, run));
  }

  void at(double second, Runnable run) {
    at(start + (long) (second * SECOND), run);
  }

  void runTo(double second) {
    long end = start + (long) (second * SECOND);
    while (!steps.isEmpty() && steps.peek().at <= end) {
      Step step = steps.poll();
      now = step.at;
      step.run.run();
    }
    now = end;
  }

  /** A balancer starts, or starts again and has forgotten all; what it had out is lost. */
  void begin(int me) {
    PolicySettings base = PolicyDriver.safe();
    lives[me]++;
    balancers[me] =
        new AdaptiveLoadBalancingPolicy(
            new PolicySettings(
                me,
                balancers.length,
                "abcd".charAt(me % 4) + "",
                base.requestClasses(),
                base.tenants(),
                new Limits(
                    true, false, false, true, true, 1000 * MS, 4, 10_000, 1, 200 * MS, 5000 * MS),
                contract,
                new Costs(priced ? 0.05 : 0, 0, 0),
                false,
                WeightKind.NONE,
                0.2,
                true,
                MS),
            random.nextLong());
    step(me, new EndpointListUpdate(EndpointListUpdate.Kind.CACHED, List.of(listed)));
    step(me, new EndpointListUpdate(EndpointListUpdate.Kind.FULL, List.of(listed)));
  }

  /** An upstream restarts; each balancer is told within a tenth of a second. */
  void restart(long upstream) {
    EndpointDescriptor up =
        new EndpointDescriptor(
            upstream, listed[(int) upstream].zone(), (int) upstream, EndpointStatus.READY, now, 1);
    listed[(int) upstream] = up;
    toCold.put(upstream, new ArrayList<>());
    for (int i = 0; i < balancers.length; i++) {
      int me = i;
      at(
          now + random.nextLong(100 * MS),
          () -> step(me, new EndpointListUpdate(EndpointListUpdate.Kind.DELTA, List.of(up))));
    }
  }

  /**
   * From now on the upstream ends every attempt like this; a time-out is silence until the
   * deadline.
   */
  void breakDown(long upstream, AttemptStatus status) {
    broken.put(upstream, status);
  }

  /** So many requests, spread evenly over all balancers and so long. */
  void burst(int count, long within) {
    for (int i = 0; i < count; i++) {
      int me = i % balancers.length;
      at(now + random.nextLong(within), () -> request(me));
    }
  }

  /** Some balancers, of all zones, get five times what the others get. */
  private void arrive() {
    double part = traffic.applyAsDouble((now - start) / (double) SECOND);
    if (part > 0) {
      int me = random.nextInt(balancers.length);
      while (me % 10 != me / 10 % 10 && random.nextInt(5) > 0) {
        me = random.nextInt(balancers.length);
      }
      request(me);
    }
    double gap = -Math.log(1 - random.nextDouble()) / (USUAL * UPSTREAMS * (part > 0 ? part : 1));
    at(now + (long) (gap * SECOND), this::arrive);
  }

  private void request(int me) {
    double light = (1 - HEAVY_SHARE * HEAVY) / (1 - HEAVY_SHARE);
    double work = random.nextDouble() < HEAVY_SHARE ? HEAVY : light;
    String id = me + "." + lives[me] + "." + ids++;
    pending.put(id, new Pending(work, now + 2 * SECOND));
    step(
        me,
        new RequestArrived(
            id,
            "c",
            null,
            "k" + random.nextInt(300),
            now + 2 * SECOND,
            (long) (work * WORK),
            false));
  }

  private double warmth(long upstream, long when) {
    long started = listed[(int) upstream].startedNanos();
    double part = (when - started) / (double) contract.warmUpNanos();
    return started == 0 || part >= 1 ? 1 : contract.initialCapacityFraction() * (1 - part) + part;
  }

  private void step(int me, Event event) {
    List<Action> actions = new ArrayList<>();
    balancers[me].handle(now, event, actions::add);
    int life = lives[me];
    for (Action action : actions) {
      if (action instanceof SetTimer t) {
        at(t.fireAtNanos(), () -> ifAlive(me, life, new TimerFired(t.timerId())));
      } else if (action instanceof ForwardAttempt s) {
        send(me, s);
      }
    }
  }

  private void ifAlive(int me, int life, Event event) {
    if (lives[me] == life) {
      step(me, event);
    }
  }

  private void send(int me, ForwardAttempt s) {
    int up = (int) s.endpointId();
    Pending p = pending.get(s.requestId());
    int attempt = p.attempts++;
    int life = lives[me];
    long sent = now;
    AttemptStatus status = broken.getOrDefault(s.endpointId(), AttemptStatus.SERVED);
    long end = status == AttemptStatus.TIMEOUT ? p.deadline : now + 2 * MS;
    if (status == AttemptStatus.SERVED) {
      int core = free[up][0] <= free[up][1] ? 0 : 1;
      end = Math.max(now, free[up][core]) + (long) (p.work * WORK / warmth(up, now));
      free[up][core] = end;
      if (end > p.deadline) {
        end = p.deadline;
        status = AttemptStatus.TIMEOUT;
      }
    }
    if (toCold.containsKey(s.endpointId())) {
      toCold.get(s.endpointId()).add(new Sent(now, p.work));
    }
    AttemptStatus as = status;
    at(
        end,
        () -> {
          AttemptStatus how = p.served ? AttemptStatus.CANCELLED : as;
          p.served |= how == AttemptStatus.SERVED;
          ifAlive(
              me,
              life,
              new AttemptCompleted(
                  s.requestId(), attempt, s.endpointId(), how, now - sent, p.served, Map.of()));
        });
  }

  /** Work that an upstream of this warmth stands in one window: with more it falls. */
  double stands(double warmth) {
    double n =
        contract.overloadMultiple() * CAPACITY * warmth * contract.overloadWindowNanos() / SECOND;
    return n + 2 * Math.sqrt(n) + 2;
  }

  /** The worst window of a restarted upstream: work sent to it, in parts of what it falls from. */
  double worst() {
    double worst = 0;
    for (var of : toCold.entrySet()) {
      List<Sent> sends = of.getValue();
      double sum = 0;
      for (int first = 0, next = 0; first < sends.size(); first++) {
        for (;
            next < sends.size()
                && sends.get(next).at < sends.get(first).at + contract.overloadWindowNanos();
            next++) {
          sum += sends.get(next).work;
        }
        worst = Math.max(worst, sum / stands(warmth(of.getKey(), sends.get(first).at)));
        sum -= sends.get(first).work;
      }
    }
    return worst;
  }

  /**
   * Work sent to the restarted upstreams during their slow start, in parts of their warmth's part
   * of the usual.
   */
  double used() {
    double sent = 0;
    double due = 0;
    for (var of : toCold.entrySet()) {
      long end = listed[of.getKey().intValue()].startedNanos() + contract.warmUpNanos();
      sent += of.getValue().stream().filter(s -> s.at < end).mapToDouble(Sent::work).sum();
      due += USUAL * (1 + contract.initialCapacityFraction()) / 2 * contract.warmUpNanos() / SECOND;
    }
    return sent / due;
  }
}
