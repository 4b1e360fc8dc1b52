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
 * A discrete-event simulation of many balancers that share only the clock and the endpoints. It is
 * deterministic for a seed. Times in seconds are relative to the start of the simulation.
 */
final class SimulatedFleet {

  static final int ENDPOINTS = 12;

  private static final String[] ZONES = {"a", "b", "c", "d"};
  private static final int KEYS = 300;
  private static final long START_NANOS = seconds(1000);
  private static final long MAX_NOTIFICATION_DELAY_NANOS = millis(100);

  /** The work of a heavy request; light requests have less, so that the mean work is 1. */
  private static final double HEAVY_WORK = 4;

  private static final double HEAVY_FRACTION = 0.05;
  private static final double LIGHT_WORK = (1 - HEAVY_FRACTION * HEAVY_WORK) / (1 - HEAVY_FRACTION);

  /** A task to run at a given time; of tasks with equal times, the first scheduled runs first. */
  private record ScheduledTask(long atNanos, long sequenceNumber, Runnable task) {}

  /** One incarnation of a balancer, from its start to its restart. */
  private record Balancer(int index, int incarnation, LoadBalancingPolicy policy) {}

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

  /** By request id, which is unique over all balancers and their restarts. */
  private final Map<String, SimulatedRequest> requests = new HashMap<>();

  private final PriorityQueue<ScheduledTask> scheduledTasks =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledTask::atNanos)
              .thenComparingLong(ScheduledTask::sequenceNumber));
  private final Balancer[] balancers;
  private final SimulatedEndpoint[] endpoints = new SimulatedEndpoint[ENDPOINTS];
  private final SplittableRandom random;
  private final ServiceRules serviceRules;
  private final double crossZoneCost;
  private DoubleUnaryOperator trafficAtSecond = second -> 1;
  private long nowNanos = START_NANOS;
  private long scheduledTaskCount;
  private long arrivedRequests;

  /** Starts the balancers, each with the full endpoint list, and the normal traffic. */
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

  /** Sets the traffic as a function of the time in seconds, as a multiple of the normal traffic. */
  void setTraffic(DoubleUnaryOperator newTrafficAtSecond) {
    trafficAtSecond = newTrafficAtSecond;
  }

  void schedule(double second, Runnable task) {
    scheduleAt(START_NANOS + (long) (second * seconds(1)), task);
  }

  private void scheduleAt(long atNanos, Runnable task) {
    scheduledTasks.add(new ScheduledTask(Math.max(nowNanos, atNanos), scheduledTaskCount++, task));
  }

  void runUntil(double second) {
    long endNanos = START_NANOS + (long) (second * seconds(1));
    while (!scheduledTasks.isEmpty() && scheduledTasks.peek().atNanos <= endNanos) {
      ScheduledTask next = scheduledTasks.poll();
      nowNanos = next.atNanos;
      next.task.run();
    }
    nowNanos = endNanos;
  }

  // ---- Disruptions

  /** Starts a balancer, or restarts it without any state, so that its pending attempts are lost. */
  void restartBalancer(int index) {
    PolicySettings settings =
        new TestSettings()
            .balancer(index, balancers.length, zone(index))
            .serviceRules(serviceRules)
            .crossZoneCost(crossZoneCost)
            .build();
    int incarnation = balancers[index] == null ? 1 : balancers[index].incarnation + 1;
    balancers[index] =
        new Balancer(
            index, incarnation, new AdaptiveLoadBalancingPolicy(settings, random.nextLong()));
    List<EndpointDescriptor> list =
        Stream.of(endpoints).map(SimulatedEndpoint::descriptor).toList();
    handle(balancers[index], new EndpointListUpdate(EndpointListUpdate.Kind.CACHED, list));
    handle(balancers[index], new EndpointListUpdate(EndpointListUpdate.Kind.FULL, list));
  }

  /** Restarts an endpoint; each balancer is notified after a random delay of up to 100 ms. */
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
    endpoints[index].completeEveryAttemptWith(status);
  }

  /** Adds requests to the traffic, evenly over the balancers and at random within the duration. */
  void burst(int count, long durationNanos) {
    for (int i = 0; i < count; i++) {
      int balancer = i % balancers.length;
      scheduleAt(
          nowNanos + random.nextLong(durationNanos), () -> requestArrivesAt(balancers[balancer]));
    }
  }

  // ---- Results

  /** The most work in one overload window at any restarted endpoint, divided by its threshold. */
  double maxOverloadRatio() {
    return Stream.of(endpoints).mapToDouble(SimulatedEndpoint::maxOverloadRatio).max().orElse(0);
  }

  /** The work that warming endpoints got, divided by the work expected at their capacity. */
  double warmUpUtilization() {
    double work = 0;
    double expectedWork = 0;
    for (SimulatedEndpoint endpoint : endpoints) {
      work += endpoint.warmUpWork();
      expectedWork += endpoint.expectedWarmUpWork();
    }
    return work / expectedWork;
  }

  // ---- Requests

  /**
   * Has one request arrive, unless the traffic is 0, and schedules the next arrival. Some balancers
   * get five times the traffic of the others.
   */
  private void requestArrives() {
    double traffic = trafficAtSecond.applyAsDouble((nowNanos - START_NANOS) / (double) seconds(1));
    if (traffic > 0) {
      int index = random.nextInt(balancers.length);
      while (!hasHighTraffic(index) && random.nextInt(5) > 0) {
        index = random.nextInt(balancers.length);
      }
      requestArrivesAt(balancers[index]);
    }
    double normalRequestsPerSecond = SimulatedEndpoint.NORMAL_LOAD_PER_SECOND * ENDPOINTS;
    double gapSeconds =
        -Math.log(1 - random.nextDouble())
            / (normalRequestsPerSecond * (traffic > 0 ? traffic : 1));
    scheduleAt(nowNanos + (long) (gapSeconds * seconds(1)), this::requestArrives);
  }

  /** Whether a balancer is one of the tenth, spread over all zones, with five times the traffic. */
  private static boolean hasHighTraffic(int index) {
    return index % 10 == index / 10 % 10;
  }

  private void requestArrivesAt(Balancer balancer) {
    double work = random.nextDouble() < HEAVY_FRACTION ? HEAVY_WORK : LIGHT_WORK;
    String requestId = balancer.index + "." + balancer.incarnation + "." + arrivedRequests++;
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
    if (balancers[balancer.index].incarnation == balancer.incarnation) {
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
