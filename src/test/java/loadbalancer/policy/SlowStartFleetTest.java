package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.settings.ServiceRules;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Slow start over a simulated fleet: the sum of what all balancers forward to a restarted endpoint
 * must not overload it, although no balancer knows of the others.
 */
class SlowStartFleetTest {

  private static final double RESTART_SECOND = 20;
  private static final int SEEDS = 3;
  private static final double CROSS_ZONE_COST = 0.05;
  private static final ServiceRules SHORT_WINDOW =
      serviceRules(0.14, millis(24_000), 3, millis(500));
  private static final ServiceRules LONG_WINDOW =
      serviceRules(0.14, millis(24_000), 4, millis(1000));
  private static final ServiceRules FAST_WARM_UP =
      serviceRules(0.43, millis(9_000), 4, millis(2000));

  private static ServiceRules serviceRules(
      double initialCapacityFraction,
      long warmUpNanos,
      double overloadMultiple,
      long overloadWindowNanos) {
    return new ServiceRules(
        millis(8),
        0,
        millis(250),
        initialCapacityFraction,
        warmUpNanos,
        overloadMultiple,
        overloadWindowNanos);
  }

  /** An event that may overload a restarted endpoint, scheduled before the simulation runs. */
  private interface Disruption {
    void schedule(SimulatedFleet fleet, Scenario scenario);
  }

  /** A fleet of which some endpoints restart, and one further disruption. */
  private record Scenario(
      String name,
      ServiceRules serviceRules,
      int balancers,
      int restarted,
      double crossZoneCost,
      Disruption disruption) {

    /** A scenario in which cross-zone traffic costs nothing. */
    static Scenario of(
        String name, ServiceRules rules, int balancers, int restarted, Disruption disruption) {
      return new Scenario(name, rules, balancers, restarted, 0, disruption);
    }

    Scenario preferringLocalZone() {
      return new Scenario(name, serviceRules, balancers, restarted, CROSS_ZONE_COST, disruption);
    }

    @Override
    public String toString() {
      return String.format(
          "%s, %d balancers, %d restarted,%s overload window of %d ms",
          name,
          balancers,
          restarted,
          crossZoneCost > 0 ? " local zone preferred," : "",
          serviceRules.overloadWindowNanos() / millis(1));
    }

    /** Runs the simulation until the restarted endpoints are warm. */
    SimulatedFleet run(long seed) {
      SimulatedFleet fleet = new SimulatedFleet(balancers, serviceRules, crossZoneCost, seed);
      for (int i = 0; i < restarted; i++) {
        int endpoint = i * 5 % SimulatedFleet.ENDPOINTS;
        fleet.schedule(RESTART_SECOND, () -> fleet.restartEndpoint(endpoint));
      }
      disruption.schedule(fleet, this);
      fleet.runUntil(RESTART_SECOND + serviceRules.warmUpNanos() / 1e9);
      return fleet;
    }
  }

  private static final Disruption NO_DISRUPTION = (fleet, scenario) -> {};

  /** 2.5 times the normal traffic for 3 s, starting at a time relative to the restart. */
  private static Disruption burstAfter(double seconds) {
    double start = RESTART_SECOND + seconds;
    return (fleet, scenario) ->
        fleet.setTraffic(second -> second >= start && second < start + 3 ? 2.5 : 1);
  }

  /**
   * No traffic from the restart on, then a burst of 200 ms. For each endpoint, it has 0.6 times as
   * many requests as the overload threshold of a warm endpoint. Warm endpoints withstand that
   * unless chance distributes the requests very unevenly.
   */
  private static Disruption trafficPauseOf(double seconds) {
    double end = RESTART_SECOND + seconds;
    return (fleet, scenario) -> {
      fleet.setTraffic(second -> second >= RESTART_SECOND && second < end ? 0 : 1);
      double threshold = SimulatedEndpoint.overloadThreshold(scenario.serviceRules, 1);
      int requests = ((int) (0.6 * threshold)) * SimulatedFleet.ENDPOINTS;
      fleet.schedule(end, () -> fleet.burst(requests, millis(200)));
    };
  }

  private static Disruption balancersRestartAfter(double seconds, int everyNth) {
    return (fleet, scenario) -> {
      for (int i = 0; i < scenario.balancers; i += everyNth) {
        int balancer = i;
        fleet.schedule(RESTART_SECOND + seconds, () -> fleet.restartBalancer(balancer));
      }
    };
  }

  private static Disruption endpointsFailWith(AttemptStatus status, int count) {
    return (fleet, scenario) -> {
      for (int i = 0; i < count; i++) {
        int endpoint = SimulatedFleet.ENDPOINTS - 1 - i;
        fleet.schedule(RESTART_SECOND + 1, () -> fleet.failEndpoint(endpoint, status));
      }
    };
  }

  static Stream<Scenario> scenarios() {
    return Stream.of(
            IntStream.of(30, 100).boxed().flatMap(SlowStartFleetTest::scenariosForEachFleetSize),
            scenariosForSingleFleetSizes())
        .flatMap(scenarios -> scenarios);
  }

  private static Stream<Scenario> scenariosForEachFleetSize(int balancers) {
    List<Scenario> scenarios = new ArrayList<>();
    for (int restarted : new int[] {1, 4, 12}) {
      scenarios.add(
          Scenario.of("no disruption", SHORT_WINDOW, balancers, restarted, NO_DISRUPTION));
    }
    scenarios.add(
        Scenario.of("no disruption", SHORT_WINDOW, balancers, 1, NO_DISRUPTION)
            .preferringLocalZone());
    for (int seconds : new int[] {0, 1, 2, 4, 8, 12}) {
      Scenario burst =
          Scenario.of(
              "burst after " + seconds + " s", SHORT_WINDOW, balancers, 1, burstAfter(seconds));
      scenarios.add(seconds % 4 == 0 ? burst.preferringLocalZone() : burst);
    }
    scenarios.addAll(failureScenarios(balancers));
    for (ServiceRules rules : List.of(SHORT_WINDOW, LONG_WINDOW, FAST_WARM_UP)) {
      double halfWarmUpSeconds = rules.warmUpNanos() / 2e9;
      scenarios.add(Scenario.of("traffic pause of 2 s", rules, balancers, 1, trafficPauseOf(2)));
      scenarios.add(
          Scenario.of(
              "traffic pause of half the warm-up",
              rules,
              balancers,
              1,
              trafficPauseOf(halfWarmUpSeconds)));
      scenarios.add(
          Scenario.of("traffic pause of 2 s", rules, balancers, 4, trafficPauseOf(2))
              .preferringLocalZone());
    }
    return scenarios.stream();
  }

  private static List<Scenario> failureScenarios(int balancers) {
    return List.of(
        Scenario.of(
            "all balancers restart", SHORT_WINDOW, balancers, 1, balancersRestartAfter(-0.2, 1)),
        Scenario.of(
            "half the balancers restart", SHORT_WINDOW, balancers, 4, balancersRestartAfter(1, 2)),
        Scenario.of(
            "two endpoints reject everything",
            SHORT_WINDOW,
            balancers,
            1,
            endpointsFailWith(AttemptStatus.REJECTED, 2)),
        Scenario.of(
                "two endpoints reset everything",
                SHORT_WINDOW,
                balancers,
                1,
                endpointsFailWith(AttemptStatus.RESET, 2))
            .preferringLocalZone(),
        Scenario.of(
            "seven endpoints refuse connections: panic threshold",
            SHORT_WINDOW,
            balancers,
            1,
            endpointsFailWith(AttemptStatus.CONNECT_FAILED, 7)),
        Scenario.of(
                "seven endpoints unresponsive",
                SHORT_WINDOW,
                balancers,
                1,
                endpointsFailWith(AttemptStatus.TIMEOUT, 7))
            .preferringLocalZone());
  }

  private static Stream<Scenario> scenariosForSingleFleetSizes() {
    return Stream.of(
        Scenario.of("no disruption", SHORT_WINDOW, 3, 1, NO_DISRUPTION),
        Scenario.of("burst after 1 s", SHORT_WINDOW, 3, 1, burstAfter(1)),
        Scenario.of("traffic pause of half the warm-up", SHORT_WINDOW, 3, 1, trafficPauseOf(12)),
        Scenario.of("traffic pause of half the warm-up", SHORT_WINDOW, 1000, 1, trafficPauseOf(12)),
        Scenario.of("traffic pause of 2 s", SHORT_WINDOW, 1000, 1, trafficPauseOf(2)),
        Scenario.of("burst after 1 s", LONG_WINDOW, 30, 4, burstAfter(1)).preferringLocalZone(),
        Scenario.of("burst after 1 s", FAST_WARM_UP, 30, 4, burstAfter(1)).preferringLocalZone());
  }

  @ParameterizedTest
  @MethodSource("scenarios")
  void restartedEndpointIsNotOverloadedByTheSumOfAllBalancers(Scenario scenario) {
    double maxRatio =
        LongStream.rangeClosed(1, SEEDS)
            .mapToDouble(seed -> scenario.run(seed).maxOverloadRatio())
            .max()
            .getAsDouble();
    assertTrue(maxRatio <= 1, "work in one overload window / overload threshold: " + maxRatio);
  }

  static Stream<Scenario> undisruptedScenarios() {
    return Stream.of(LONG_WINDOW, SHORT_WINDOW, FAST_WARM_UP)
        .flatMap(
            rules ->
                Stream.of(3, 30, 100, 500)
                    .map(
                        balancers ->
                            Scenario.of("no disruption", rules, balancers, 4, NO_DISRUPTION)));
  }

  /**
   * The opposite failure: a restarted endpoint stays idle because no balancer ever collects enough
   * tokens for an attempt.
   */
  @ParameterizedTest
  @MethodSource("undisruptedScenarios")
  void restartedEndpointGetsTrafficInProportionToItsCapacityFromAllBalancers(Scenario scenario) {
    double utilization =
        LongStream.rangeClosed(1, SEEDS)
            .mapToDouble(seed -> scenario.run(seed).warmUpUtilization())
            .average()
            .getAsDouble();
    assertTrue(
        utilization > 0.75 && utilization < 1.15,
        "work while warming up / work expected at its capacity: " + utilization);
  }
}
