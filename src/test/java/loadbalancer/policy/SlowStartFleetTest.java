package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.settings.ServiceRules;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A restarted upstream falls by what all balancers send it together, and none of them knows of
 * another.
 */
class SlowStartFleetTest {

  private static final long MS = SimulatedFleet.MS;
  private static final double RESTART = 20;
  private static final int SEEDS = 3;
  private static final ServiceRules LONG = SimulatedFleet.contract(0.14, 24_000 * MS, 4, 1000 * MS);
  private static final ServiceRules SHORT = SimulatedFleet.contract(0.14, 24_000 * MS, 3, 500 * MS);
  private static final ServiceRules WARMER =
      SimulatedFleet.contract(0.43, 9_000 * MS, 4, 2000 * MS);

  /** One cause of crowding at a cold upstream. */
  private interface Trouble {
    void prepare(SimulatedFleet fleet, int group);
  }

  private record Case(
      String name, ServiceRules contract, int group, int cold, boolean priced, Trouble trouble) {
    @Override
    public String toString() {
      return name
          + ", "
          + group
          + " balancers, "
          + cold
          + " cold, "
          + (priced ? "zones priced, " : "")
          + "falls in "
          + contract.overloadWindowNanos() / MS
          + " ms";
    }

    SimulatedFleet play(long seed) {
      SimulatedFleet fleet = new SimulatedFleet(group, contract, priced, seed);
      for (int i = 0; i < cold; i++) {
        long upstream = i * 5 % SimulatedFleet.UPSTREAMS;
        fleet.at(RESTART, () -> fleet.restart(upstream));
      }
      trouble.prepare(fleet, group);
      fleet.runTo(RESTART + contract.warmUpNanos() / 1e9);
      return fleet;
    }
  }

  private static Trouble burstAfter(double seconds) {
    return (fleet, group) ->
        fleet.traffic = t -> t >= RESTART + seconds && t < RESTART + seconds + 3 ? 2.5 : 1;
  }

  /**
   * No traffic from the restart on, then in a fifth of a second what the warm upstreams stand, but
   * for chance.
   */
  private static Trouble lull(double seconds) {
    return (fleet, group) -> {
      fleet.traffic = t -> t >= RESTART && t < RESTART + seconds ? 0 : 1;
      fleet.at(
          RESTART + seconds,
          () -> fleet.burst((int) (0.6 * fleet.stands(1)) * SimulatedFleet.UPSTREAMS, 200 * MS));
    };
  }

  private static Trouble balancersRestart(double before, int every) {
    return (fleet, group) -> {
      for (int i = 0; i < group; i += every) {
        int me = i;
        fleet.at(RESTART + before, () -> fleet.begin(me));
      }
    };
  }

  private static Trouble broken(AttemptStatus status, int count) {
    return (fleet, group) -> {
      for (int i = 0; i < count; i++) {
        long upstream = SimulatedFleet.UPSTREAMS - 1 - i;
        fleet.at(RESTART + 1, () -> fleet.breakDown(upstream, status));
      }
    };
  }

  private static final Trouble NONE = (fleet, group) -> {};

  static Stream<Case> cases() {
    List<Case> cases = new ArrayList<>();
    for (int group : new int[] {30, 100}) {
      cases.add(new Case("plain", SHORT, group, 1, false, NONE));
      cases.add(new Case("plain", SHORT, group, 4, false, NONE));
      cases.add(new Case("plain", SHORT, group, 12, false, NONE));
      cases.add(new Case("plain", SHORT, group, 1, true, NONE));
      for (int seconds : new int[] {0, 1, 2, 4, 8, 12}) {
        cases.add(
            new Case(
                "burst after " + seconds, SHORT, group, 1, seconds % 4 == 0, burstAfter(seconds)));
      }
      cases.add(new Case("balancers restarted", SHORT, group, 1, false, balancersRestart(-0.2, 1)));
      cases.add(
          new Case("half the balancers restarted", SHORT, group, 4, false, balancersRestart(1, 2)));
      cases.add(
          new Case("two turn all away", SHORT, group, 1, false, broken(AttemptStatus.REJECTED, 2)));
      cases.add(new Case("two fail", SHORT, group, 1, true, broken(AttemptStatus.RESET, 2)));
      cases.add(new Case("panic", SHORT, group, 1, false, broken(AttemptStatus.CONNECT_FAILED, 7)));
      cases.add(new Case("silent", SHORT, group, 1, true, broken(AttemptStatus.TIMEOUT, 7)));
      for (ServiceRules contract : List.of(SHORT, LONG, WARMER)) {
        cases.add(new Case("lull of 2", contract, group, 1, false, lull(2)));
        cases.add(
            new Case(
                "lull of half", contract, group, 1, false, lull(contract.warmUpNanos() / 2e9)));
        cases.add(new Case("lull of 2", contract, group, 4, true, lull(2)));
      }
    }
    cases.add(new Case("plain", SHORT, 3, 1, false, NONE));
    cases.add(new Case("burst after 1", SHORT, 3, 1, false, burstAfter(1)));
    cases.add(new Case("lull of half", SHORT, 3, 1, false, lull(12)));
    cases.add(new Case("lull of half", SHORT, 1000, 1, false, lull(12)));
    cases.add(new Case("lull of 2", SHORT, 1000, 1, false, lull(2)));
    cases.add(new Case("burst after 1", LONG, 30, 4, true, burstAfter(1)));
    cases.add(new Case("burst after 1", WARMER, 30, 4, true, burstAfter(1)));
    return cases.stream();
  }

  @ParameterizedTest
  @MethodSource("cases")
  void coldUpstreamStaysUpUnderWhatAllSendIt(Case c) {
    double worst = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      worst = Math.max(worst, c.play(seed).worst());
    }
    assertTrue(worst <= 1, "work sent in one window, in parts of what it falls from: " + worst);
  }

  static Stream<Case> plain() {
    return Stream.of(LONG, SHORT, WARMER)
        .flatMap(
            c ->
                Stream.of(3, 30, 100, 500)
                    .map(group -> new Case("plain", c, group, 4, false, NONE)));
  }

  /** Guards against the opposite: a restarted upstream left idle by balancers that save nothing. */
  @ParameterizedTest
  @MethodSource("plain")
  void coldUpstreamGetsItsWarmthsPartFromAllTogether(Case c) {
    double used = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      used += c.play(seed).used() / SEEDS;
    }
    assertTrue(used > 0.75 && used < 1.15, "part of its warmth's part: " + used);
  }

  /** Guards against heavy requests that count as one: a few fill what is cold. */
  @Test
  void aHeavyRequestTakesItsLoadOfTheColdBudget() {
    int light = sendsToCold(20 * MS);
    int heavy = sendsToCold(80 * MS);
    assertTrue(
        light >= 4 && heavy <= light / 2,
        "sends to the cold one: light " + light + ", heavy " + heavy);
  }

  private static int sendsToCold(long hint) {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(9);
    for (int i = 0; i < 2000; i++) {
      serve(d, i, 20 * MS);
    }
    d.list(
        EndpointListUpdate.Kind.DELTA,
        new EndpointDescriptor(500, "a", 0, EndpointStatus.READY, d.now, 1));
    int cold = 0;
    for (int i = 0; i < 200; i++) {
      cold += serve(d, i, hint) == 500 ? 1 : 0;
    }
    return cold;
  }

  private static long serve(PolicyDriver d, int i, long hint) {
    String id = d.nextId();
    long upstream = PolicyDriver.sentTo(d.request(id, "c", null, "k" + i, hint));
    d.pass(MS);
    if (upstream >= 0) {
      d.end(id, upstream, AttemptStatus.SERVED, MS);
    }
    return upstream;
  }
}
