package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static loadbalancer.policy.Durations.seconds;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Stream;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.event.TimerFired;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.ServiceRules;

/**
 * A simulation of many balancers that share nothing but the clock and the endpoints. The same seed
 * gives the same run. Times named in seconds count from the start of the simulation.
 */
final class SimulatedFleet {

  static final int ENDPOINTS = 12;

  private static final String[] ZONES = {"a", "b", "c", "d"};
  private static final int KEYS = 300;
  private static final long START_NANOS = seconds(1000);
  private static final long MAX_NOTIFICATION_DELAY_NANOS = millis(100);

  /** A twentieth of the requests is of this work; the rest makes the mean 1. */
  private static final double HEAVY_WORK = 4;

  private static final double HEAVY_FRACTION = 0.05;
  private static final double LIGHT_WORK = (1 - HEAVY_FRACTION * HEAVY_WORK) / (1 - HEAVY_FRACTION);

  /** Something to run at a time; what is scheduled first runs first where times are equal. */
  private record Step(long atNanos, long sequenceNumber, Runnable action) {}

  /** One life of a balancer, from its start to its restart. */
  private record Balancer(int index, int life, LoadBalancingPolicy policy) {}

  private static final class SimulatedRequest {
    final double work;
    final long deadlineNanos;
    int attempts;
    boolean served;

    SimulatedRequest(double work, long deadlineNanos) {
      this.work = work;
      this.deadlineNanos = deadlineNanos;
    }
  }

  /** By id, which is unique over the whole fleet, and over a balancer's restarts. */
  private final Map<String, SimulatedRequest> requests = new HashMap<>();

  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(
          Comparator.comparingLong(Step::atNanos).thenComparingLong(Step::sequenceNumber));
  private final Balancer[] balancers;
  private final SimulatedEndpoint[] endpoints = new SimulatedEndpoint[ENDPOINTS];
  private final SplittableRandom random;
  private final ServiceRules serviceRules;
  private final double crossZoneCost;
  private DoubleUnaryOperator trafficAtSecond = second -> 1;
  private long nowNanos = START_NANOS;
  private long scheduledSteps;
  private long arrivedRequests;

  /** Starts the balancers, which know all endpoints, and the usual traffic. */
  SimulatedFleet(int balancerCount, ServiceRules serviceRules, double crossZoneCost, long seed) {
    this.serviceRules = serviceRules;
    this.crossZoneCost = crossZoneCost;
    random = new SplittableRandom(seed);
    for (int i = 0; i < ENDPOINTS; i++) {
      endpoints[i] = new SimulatedEndpoint(i, zone(i), serviceRules);
    }
    balancers = new Balancer[balancerCount];
    for (int i = 0; i < balancerCount; i++) {
      restartBalancer(i);
    }
    requestArrives();
  }

  private static String zone(int index) {
    return ZONES[index % ZONES.length];
  }

  /** Sets the traffic at each second, as a multiple of the usual. */
  void setTraffic(DoubleUnaryOperator newTrafficAtSecond) {
    trafficAtSecond = newTrafficAtSecond;
  }

  void schedule(double second, Runnable action) {
    scheduleAt(START_NANOS + (long) (second * seconds(1)), action);
  }

  private void scheduleAt(long atNanos, Runnable action) {
    steps.add(new Step(Math.max(nowNanos, atNanos), scheduledSteps++, action));
  }

  void runUntil(double second) {
    long endNanos = START_NANOS + (long) (second * seconds(1));
    while (!steps.isEmpty() && steps.peek().atNanos <= endNanos) {
      Step step = steps.poll();
      nowNanos = step.atNanos;
      step.action.run();
    }
    nowNanos = endNanos;
  }

  // ---- What happens to the fleet

  /** Starts a balancer, or starts it again with nothing of its state; its attempts are lost. */
  void restartBalancer(int index) {
    PolicySettings settings =
        new TestSettings()
            .balancer(index, balancers.length, zone(index))
            .serviceRules(serviceRules)
            .crossZoneCost(crossZoneCost)
            .build();
    int life = balancers[index] == null ? 1 : balancers[index].life + 1;
    balancers[index] =
        new Balancer(index, life, new AdaptiveLoadBalancingPolicy(settings, random.nextLong()));
    List<EndpointDescriptor> list =
        Stream.of(endpoints).map(SimulatedEndpoint::descriptor).toList();
    handle(balancers[index], new EndpointListUpdate(EndpointListUpdate.Kind.CACHED, list));
    handle(balancers[index], new EndpointListUpdate(EndpointListUpdate.Kind.FULL, list));
  }

  /** Restarts an endpoint; each balancer is notified within a tenth of a second. */
  void restartEndpoint(int index) {
    endpoints[index].restart(nowNanos);
    EndpointListUpdate update =
        new EndpointListUpdate(
            EndpointListUpdate.Kind.DELTA, List.of(endpoints[index].descriptor()));
    for (int i = 0; i < balancers.length; i++) {
      int balancer = i;
      scheduleAt(
          nowNanos + random.nextLong(MAX_NOTIFICATION_DELAY_NANOS),
          () -> handle(balancers[balancer], update));
    }
  }

  void failEndpoint(int index, AttemptStatus status) {
    endpoints[index].endEveryAttemptWith(status);
  }

  /** So many requests beside the traffic, spread evenly over all balancers and so long. */
  void burst(int count, long durationNanos) {
    for (int i = 0; i < count; i++) {
      int balancer = i % balancers.length;
      scheduleAt(
          nowNanos + random.nextLong(durationNanos), () -> requestArrivesAt(balancers[balancer]));
    }
  }

  // ---- Results

  /** The most work that a restarted endpoint got in one overload window, over its threshold. */
  double maxOverloadRatio() {
    return Stream.of(endpoints).mapToDouble(SimulatedEndpoint::maxOverloadRatio).max().orElse(0);
  }

  /** The work that restarted endpoints got while warming up, over the usual at their capacity. */
  double warmUpUtilization() {
    double work = 0;
    double usualWork = 0;
    for (SimulatedEndpoint endpoint : endpoints) {
      work += endpoint.warmUpWork();
      usualWork += endpoint.usualWarmUpWork();
    }
    return work / usualWork;
  }

  // ---- Requests

  /** One request of the traffic, if there is any; some balancers get five times what others get. */
  private void requestArrives() {
    double traffic = trafficAtSecond.applyAsDouble((nowNanos - START_NANOS) / (double) seconds(1));
    if (traffic > 0) {
      int index = random.nextInt(balancers.length);
      while (!isPreferred(index) && random.nextInt(5) > 0) {
        index = random.nextInt(balancers.length);
      }
      requestArrivesAt(balancers[index]);
    }
    double usualPerSecond = SimulatedEndpoint.USUAL_LOAD_PER_SECOND * ENDPOINTS;
    double gapSeconds =
        -Math.log(1 - random.nextDouble()) / (usualPerSecond * (traffic > 0 ? traffic : 1));
    scheduleAt(nowNanos + (long) (gapSeconds * seconds(1)), this::requestArrives);
  }

  /** Whether a balancer is one of the tenth, in all zones, that most traffic goes to. */
  private static boolean isPreferred(int index) {
    return index % 10 == index / 10 % 10;
  }

  private void requestArrivesAt(Balancer balancer) {
    double work = random.nextDouble() < HEAVY_FRACTION ? HEAVY_WORK : LIGHT_WORK;
    String requestId = balancer.index + "." + balancer.life + "." + arrivedRequests++;
    long deadlineNanos = nowNanos + TestSettings.DEADLINE_NANOS;
    requests.put(requestId, new SimulatedRequest(work, deadlineNanos));
    handle(
        balancer,
        new RequestArrived(
            requestId,
            TestSettings.REQUEST_CLASS,
            null,
            "k" + random.nextInt(KEYS),
            deadlineNanos,
            (long) (work * SimulatedEndpoint.MEAN_WORK_NANOS),
            false));
  }

  private void handle(Balancer balancer, Event event) {
    List<Action> actions = new ArrayList<>();
    balancer.policy.handle(nowNanos, event, actions::add);
    for (Action action : actions) {
      if (action instanceof SetTimer timer) {
        scheduleAt(
            timer.fireAtNanos(),
            () -> handleUnlessRestarted(balancer, new TimerFired(timer.timerId())));
      } else if (action instanceof ForwardAttempt forward) {
        forward(balancer, forward);
      }
    }
  }

  private void handleUnlessRestarted(Balancer balancer, Event event) {
    if (balancers[balancer.index].life == balancer.life) {
      handle(balancer, event);
    }
  }

  private void forward(Balancer balancer, ForwardAttempt forward) {
    SimulatedRequest request = requests.get(forward.requestId());
    int attempt = request.attempts++;
    long forwardedNanos = nowNanos;
    SimulatedEndpoint.Completion completion =
        endpoints[(int) forward.endpointId()].serve(nowNanos, request.work, request.deadlineNanos);
    scheduleAt(
        completion.atNanos(),
        () -> {
          AttemptStatus status = request.served ? AttemptStatus.CANCELLED : completion.status();
          request.served |= status == AttemptStatus.SERVED;
          handleUnlessRestarted(
              balancer,
              new AttemptCompleted(
                  forward.requestId(),
                  attempt,
                  forward.endpointId(),
                  status,
                  nowNanos - forwardedNanos,
                  request.served,
                  Map.of()));
        });
  }
}
