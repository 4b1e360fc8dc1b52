package pumicekeel;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import pumicekeel.Balancer.Action;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.Event;
import pumicekeel.Balancer.Limits;
import pumicekeel.Balancer.ListKind;
import pumicekeel.Balancer.ListNews;
import pumicekeel.Balancer.Listed;
import pumicekeel.Balancer.Outcome;
import pumicekeel.Balancer.Prices;
import pumicekeel.Balancer.Request;
import pumicekeel.Balancer.Send;
import pumicekeel.Balancer.SetTimer;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.State;
import pumicekeel.Balancer.Status;
import pumicekeel.Balancer.TimerFired;
import pumicekeel.Balancer.WeightKind;

/**
 * Many instances that share nothing but the clock, upstreams of two cores that fall to nothing, and
 * a book on the sends to the cold ones.
 */
final class ColdFleet {

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
  private final Balancer[] balancers;
  private final int[] lives;
  private final long[][] free = new long[UPSTREAMS][CORES];
  private final Listed[] listed = new Listed[UPSTREAMS];
  private final Map<Long, List<Sent>> toCold = new TreeMap<>();
  private final Map<Long, Status> broken = new HashMap<>();
  private final SplittableRandom random;
  private final Contract contract;
  private final boolean priced;
  private final long start = 1000 * SECOND;
  private long now = start;
  private long numbers;
  private long ids;

  /** The traffic at so many seconds, in parts of the usual. */
  DoubleUnaryOperator traffic = t -> 1;

  ColdFleet(int group, Contract contract, boolean priced, long seed) {
    this.contract = contract;
    this.priced = priced;
    random = new SplittableRandom(seed);
    balancers = new Balancer[group];
    lives = new int[group];
    for (int i = 0; i < UPSTREAMS; i++) {
      listed[i] = new Listed(i, "abcd".charAt(i % 4) + "", i, State.READY, 0, 1);
    }
    for (int i = 0; i < group; i++) {
      begin(i);
    }
    arrive();
  }

  static Contract contract(double coldFrom, long warmWithin, double fallMultiple, long fallWindow) {
    return new Contract(8 * MS, 0, 250 * MS, coldFrom, warmWithin, fallMultiple, fallWindow);
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
    Settings base = Driver.safe();
    lives[me]++;
    balancers[me] =
        new AdaptiveBalancer(
            new Settings(
                me,
                balancers.length,
                "abcd".charAt(me % 4) + "",
                base.classes(),
                base.tenants(),
                new Limits(
                    true, false, false, true, true, 1000 * MS, 4, 10_000, 1, 200 * MS, 5000 * MS),
                contract,
                new Prices(priced ? 0.05 : 0, 0, 0),
                false,
                WeightKind.NONE,
                0.2,
                true,
                MS),
            random.nextLong());
    step(me, new ListNews(ListKind.CACHED, List.of(listed)));
    step(me, new ListNews(ListKind.FULL, List.of(listed)));
  }

  /** An upstream restarts; each balancer is told within a tenth of a second. */
  void restart(long upstream) {
    Listed up =
        new Listed(upstream, listed[(int) upstream].zone(), (int) upstream, State.READY, now, 1);
    listed[(int) upstream] = up;
    toCold.put(upstream, new ArrayList<>());
    for (int i = 0; i < balancers.length; i++) {
      int me = i;
      at(
          now + random.nextLong(100 * MS),
          () -> step(me, new ListNews(ListKind.DELTA, List.of(up))));
    }
  }

  /**
   * From now on the upstream ends every attempt like this; a time-out is silence until the
   * deadline.
   */
  void breakDown(long upstream, Status status) {
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
        new Request(
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
    double part = (when - started) / (double) contract.warmWithinNanos();
    return started == 0 || part >= 1 ? 1 : contract.coldFrom() * (1 - part) + part;
  }

  private void step(int me, Event event) {
    List<Action> actions = new ArrayList<>();
    balancers[me].handle(now, event, actions::add);
    int life = lives[me];
    for (Action action : actions) {
      if (action instanceof SetTimer t) {
        at(t.atNanos(), () -> ifAlive(me, life, new TimerFired(t.token())));
      } else if (action instanceof Send s) {
        send(me, s);
      }
    }
  }

  private void ifAlive(int me, int life, Event event) {
    if (lives[me] == life) {
      step(me, event);
    }
  }

  private void send(int me, Send s) {
    int up = (int) s.upstream();
    Pending p = pending.get(s.id());
    int attempt = p.attempts++;
    int life = lives[me];
    long sent = now;
    Status status = broken.getOrDefault(s.upstream(), Status.SERVED);
    long end = status == Status.TIMEOUT ? p.deadline : now + 2 * MS;
    if (status == Status.SERVED) {
      int core = free[up][0] <= free[up][1] ? 0 : 1;
      end = Math.max(now, free[up][core]) + (long) (p.work * WORK / warmth(up, now));
      free[up][core] = end;
      if (end > p.deadline) {
        end = p.deadline;
        status = Status.TIMEOUT;
      }
    }
    if (toCold.containsKey(s.upstream())) {
      toCold.get(s.upstream()).add(new Sent(now, p.work));
    }
    Status as = status;
    at(
        end,
        () -> {
          Status how = p.served ? Status.CANCELLED : as;
          p.served |= how == Status.SERVED;
          ifAlive(
              me,
              life,
              new Outcome(s.id(), attempt, s.upstream(), how, now - sent, p.served, Map.of()));
        });
  }

  /** Work that an upstream of this warmth stands in one window: with more it falls. */
  double stands(double warmth) {
    double n = contract.fallMultiple() * CAPACITY * warmth * contract.fallWindowNanos() / SECOND;
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
                && sends.get(next).at < sends.get(first).at + contract.fallWindowNanos();
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
      long end = listed[of.getKey().intValue()].startedNanos() + contract.warmWithinNanos();
      sent += of.getValue().stream().filter(s -> s.at < end).mapToDouble(Sent::work).sum();
      due += USUAL * (1 + contract.coldFrom()) / 2 * contract.warmWithinNanos() / SECOND;
    }
    return sent / due;
  }
}
