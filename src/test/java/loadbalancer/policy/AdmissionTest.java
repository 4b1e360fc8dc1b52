package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import loadbalancer.policy.SlidingWindow.Metric;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.RequestEffect;
import loadbalancer.policy.settings.Tenant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The straight line, its window and what it is fed with. */
class AdmissionTest {

  private static double published(double meanMs) {
    return AdaptiveLoadBalancingPolicy.allowedRate(meanMs, 300, 18_000, 240, 4);
  }

  @Test
  void lineMatchesThePublishedFigures() {
    assertEquals(240, published(0));
    assertEquals(240, published(300));
    assertEquals(177.3, published(5000), 0.1);
    assertEquals(122, published(9150), 0.001);
    assertEquals(4, published(18_000));
    assertEquals(4, published(99_000));
  }

  @Test
  void windowCountsAndForgets() {
    SlidingWindow w = new SlidingWindow(1200, 0);
    assertEquals(0, w.mean(0, 1), "an empty window is healthy");
    w.add(0, Metric.ADMITTED, 1);
    w.add(150, Metric.SAMPLES, 1);
    w.add(150, Metric.LATENCY, 6);
    w.add(650, Metric.SAMPLES, 1);
    w.add(650, Metric.LATENCY, 2);
    assertEquals(1, w.total(1199, Metric.ADMITTED));
    assertEquals(0, w.total(1200, Metric.ADMITTED));
    assertEquals(4, w.mean(1250, 1), 1e-9);
    assertEquals(2, w.mean(1300, 1), 1e-9);
    assertEquals(0, w.mean(90_000, 1), 1e-9);
  }

  /** Guards a quiet night after an overload: a mean that never goes again would refuse for ever. */
  @Test
  void windowThatRemembersSeveralLengthsForgetsOverALongerPause() {
    for (long pause = 1200; pause <= 20_000; pause += 100) {
      SlidingWindow w = new SlidingWindow(1200, 5, 0);
      for (long at = 10_000; at < 11_200; at += 100) {
        w.add(at, Metric.SAMPLES, 1);
        w.add(at, Metric.LATENCY, 3);
      }
      assertEquals(0, w.total(11_100 + pause, Metric.SAMPLES), 1e-9, "after " + pause);
      assertEquals(0, w.total(11_100 + pause, Metric.LATENCY), 1e-9, "after " + pause);
    }
  }

  /** Serves at a rate with a fixed number out, each answer after the latency; the share refused. */
  private static double refusedShare(
      PolicyDriver d, int requests, int out, long latency, AttemptStatus status) {
    return refusedShare(d, null, requests, out, latency, status);
  }

  private static double refusedShare(
      PolicyDriver d, String tenant, int requests, int out, long latency, AttemptStatus status) {
    d.refusals.clear();
    for (int i = 0; i < requests; i++) {
      d.request(d.nextId(), "c", tenant, "k" + i % 50, 0);
      d.serveFor(latency / out, status, latency);
    }
    return d.refusals.getOrDefault("r", 0) / (double) requests;
  }

  @Test
  void healthyFleetRefusesNothing() {
    assertEquals(
        0,
        refusedShare(
            new PolicyDriver(PolicyDriver.safe()).upstreams(5),
            500,
            5,
            40 * PolicyDriver.MS,
            AttemptStatus.SERVED));
  }

  @Test
  void ownDelayOfTheBalancerIsNoOverload() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(5);
    for (int i = 0; i < 500; i++) {
      d.request(d.nextId(), "c", null, "k" + i % 50, 0);
      d.serveFor(
          8 * PolicyDriver.MS, AttemptStatus.SERVED, 320 * PolicyDriver.MS, 40 * PolicyDriver.MS);
    }
    assertEquals(Map.of(), d.refusals, "40 ms at an upstream, 280 ms in this balancer");
  }

  @Test
  void keysThatNeverComeAgainAreForgotten() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(5);
    for (int i = 0; i < 5_000; i++) {
      d.request(d.nextId(), "c", null, "once-" + i, 0);
      d.serveFor(10 * PolicyDriver.MS, AttemptStatus.SERVED, 5 * PolicyDriver.MS);
    }
    int kept = ((AdaptiveLoadBalancingPolicy) d.module).windowsKept();
    assertTrue(kept < 300, "a window holds 100 of these keys, and kept are " + kept);
  }

  @ParameterizedTest
  @EnumSource(names = {"RESET", "ERROR"})
  void connectionsThatBreakAndErrorsAreNotTakenForLoad(AttemptStatus failure) {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(5);
    for (int i = 0; i < 1_000; i++) {
      d.request(d.nextId(), "c", null, "k" + i % 50, 0);
      d.serveFor(
          20 * PolicyDriver.MS,
          i % 10 == 9 ? failure : AttemptStatus.SERVED,
          100 * PolicyDriver.MS);
    }
    assertEquals(
        0,
        d.refusals.getOrDefault("r", 0),
        "a tenth of the attempts fails, at a quarter of the aim");
  }

  @Test
  void ownDelayOfTheBalancerIsNoSilenceOfItsUpstreams() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(2);
    for (int i = 0; i < 20; i++) {
      for (int k = 0; k < 12; k++) {
        d.request(d.nextId(), "c", null, "k" + k, 0);
      }
      d.serveFor(
          260 * PolicyDriver.MS, AttemptStatus.SERVED, 250 * PolicyDriver.MS, 40 * PolicyDriver.MS);
    }
    long copied = d.attempts.values().stream().filter(n -> n > 1).count();
    // The first ones' own delay is not known before their answers.
    assertTrue(copied <= 12, "second copies: " + copied);
  }

  @Test
  void keptConnectionsThatWereBrokenEjectNobody() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(3);
    long first = d.serve("k", 40 * PolicyDriver.MS);
    for (int i = 0; i < 5; i++) {
      d.request("b" + i, "c", "k");
      d.endStale("b" + i);
    }
    assertEquals(first, d.serve("k", 40 * PolicyDriver.MS), "still where its key belongs");
  }

  @Test
  void overloadIsRefusedWithRetryAfter() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(5);
    refusedShare(d, 300, 2, 40 * PolicyDriver.MS, AttemptStatus.SERVED);
    assertTrue(refusedShare(d, 600, 30, 700 * PolicyDriver.MS, AttemptStatus.SERVED) > 0.2);
  }

  /**
   * Guards work inside a quota: with few out, a slow dependency is not an overload of its making.
   */
  @Test
  void noRefusalInsideAQuotaWhileNoMoreIsOutThanUsual() {
    PolicyDriver d =
        new PolicyDriver(
                PolicyDriver.settings(
                    false,
                    List.of(new Tenant("t", 1, 1000)),
                    PolicyDriver.type("c", RequestEffect.IDEMPOTENT, DeduplicationScope.ALL)))
            .upstreams(5);
    refusedShare(d, "t", 2000, 10, 40 * PolicyDriver.MS, AttemptStatus.SERVED);
    assertEquals(
        0, refusedShare(d, "t", 300, 4, 390 * PolicyDriver.MS, AttemptStatus.SERVED), 0.02);
  }

  /**
   * Guards against a collapsed fleet that nobody relieves: without quotas the line refuses, however
   * few are out.
   */
  @Test
  void withoutQuotasTheLineRefusesThoughFewAreOut() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(5);
    refusedShare(d, 2000, 10, 40 * PolicyDriver.MS, AttemptStatus.SERVED);
    assertTrue(refusedShare(d, 300, 4, 390 * PolicyDriver.MS, AttemptStatus.SERVED) > 0.2);
  }

  @Test
  void excessOverAQuotaIsRefusedFirst() {
    PolicyDriver d =
        new PolicyDriver(
                PolicyDriver.settings(
                    false,
                    List.of(new Tenant("big", 0.5, 10), new Tenant("small", 0.5, 1000)),
                    PolicyDriver.type("c", RequestEffect.IDEMPOTENT, DeduplicationScope.ALL)))
            .upstreams(5);
    for (int i = 0; i < 2000; i++) {
      for (String tenant : List.of("big", "small")) {
        d.request(tenant + d.nextId(), "c", tenant, "k" + i % 50, 0);
      }
      d.serveFor(20 * PolicyDriver.MS, AttemptStatus.SERVED, 140 * PolicyDriver.MS);
    }
    assertTrue(d.refusals.getOrDefault("b", 0) > 300, "excess refused: " + d.refusals);
    assertEquals(0, d.refusals.getOrDefault("s", 0), "inside its quota nothing is refused");
  }

  /** Guards against quick failures that pull a mean down and keep a rate at full. */
  @Test
  void quickFailuresCountAsTheClassLimit() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(5);
    double refused = refusedShare(d, 800, 10, 2 * PolicyDriver.MS, AttemptStatus.ERROR);
    assertTrue(refused > 0.3, "refused " + refused);
  }

  /**
   * Guards against time-outs that no refusal mends: each counts as long as its client waited, not
   * its class's.
   */
  @Test
  void timeOutCountsAsLongAsItsClientWaited() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(5);
    for (int i = 0; i < 1_000; i++) {
      String id = i % 10 == 5 ? "lost" + i : d.nextId();
      d.step(
          new RequestArrived(id, "c", null, "k" + i % 49, d.now + 450 * PolicyDriver.MS, 0, false));
      d.pass(10 * PolicyDriver.MS);
      for (PolicyDriver.Sent s : List.copyOf(d.outstanding)) {
        boolean lost = s.requestId().startsWith("lost");
        if (d.now - s.at() >= (lost ? 420 : 40) * PolicyDriver.MS) {
          d.end(s, lost ? AttemptStatus.TIMEOUT : AttemptStatus.SERVED, d.now - s.at());
        }
      }
    }
    assertEquals(
        0,
        d.refusals.getOrDefault("r", 0),
        "of those that take a tenth of the aim; a tenth of all is lost");
  }

  /** Guards sparse views: with a request or two a window the first of each was always admitted. */
  @Test
  void theLineRefusesWhereEveryWindowHoldsHardlyARequest() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(20);
    int late = 0;
    for (int i = 0; i < 60; i++) {
      long to = PolicyDriver.sentTo(d.request(d.nextId(), "c", "k" + i));
      d.serveFor(700 * PolicyDriver.MS, AttemptStatus.SERVED, 690 * PolicyDriver.MS);
      late += i >= 20 && to >= 0 ? 1 : 0;
    }
    assertTrue(late < 15, "admitted of the last 40 at well over maxValue: " + late);
  }

  /**
   * Guards a share cut over many balancers: two close requests of a small share are chance, not
   * excess.
   */
  @Test
  void aSmallShareMaySendAFewAtOnce() {
    PolicyDriver d =
        new PolicyDriver(
                PolicyDriver.settings(
                    false,
                    List.of(new Tenant("t", 1, 1)),
                    PolicyDriver.type("c", RequestEffect.IDEMPOTENT, DeduplicationScope.ALL)))
            .upstreams(8);
    for (int i = 0; i < 20; i++) {
      d.request(d.nextId(), "c", "t", "k" + i, 0);
      d.serveFor(4000 * PolicyDriver.MS, AttemptStatus.SERVED, 190 * PolicyDriver.MS);
    }
    int sent = 0;
    for (int i = 0; i < 3; i++) {
      sent += PolicyDriver.sentTo(d.request(d.nextId(), "c", "t", "x" + i, 0)) >= 0 ? 1 : 0;
    }
    assertEquals(3, sent);
  }

  /**
   * Guards a balancer of little traffic: its line reaches back for samples, and would be shut for
   * all that time.
   */
  @Test
  void theLineIsNeverShutThoughItReachesFarBack() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(60);
    refusedShare(d, 60, 2, 40 * PolicyDriver.MS, AttemptStatus.SERVED);
    int refused = 0;
    int most = 0;
    for (int i = 0; i < 300; i++) {
      long to = PolicyDriver.sentTo(d.request(d.nextId(), "c", "k" + i % 50));
      refused = to >= 0 ? 0 : refused + 1;
      most = Math.max(most, refused);
      d.serveFor(100 * PolicyDriver.MS, AttemptStatus.SERVED, 900 * PolicyDriver.MS);
    }
    assertTrue(most >= 5, "well over maxValue: refused in a row " + most);
    assertTrue(most < 15, "turned away without an attempt in between: " + most);
  }
}
