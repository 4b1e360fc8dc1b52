package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.CancelAttempt;
import loadbalancer.policy.action.FailRequest;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.RejectRequest;
import loadbalancer.policy.action.WatchEndpoints;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.ClientDisconnected;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.event.ResponseStarted;
import loadbalancer.policy.event.TimerFired;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestEffect;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What may follow an attempt: each effect, outcome and dedup scope, with the expectation written
 * out.
 */
class ServiceRulesTest {

  private static final long FIRST = 1;

  /** Upstream 1 (zone a, cell 1), 2 (same cell), 3 (same zone), 4 (elsewhere). */
  private static PolicyDriver fleet(RequestEffect effect, DeduplicationScope scope, long... ids) {
    PolicyDriver d =
        new PolicyDriver(
            PolicyDriver.settings(false, List.of(), PolicyDriver.type("c", effect, scope)));
    d.list(
        EndpointListUpdate.Kind.CACHED,
        new EndpointDescriptor(FIRST, "a", 1, EndpointStatus.READY, 0, 1));
    List<EndpointDescriptor> others = new ArrayList<>();
    for (long id : ids) {
      others.add(
          new EndpointDescriptor(
              id, id == 4 ? "b" : "a", id == 2 ? 1 : (int) id, EndpointStatus.READY, 0, 1));
    }
    d.request("r", "c", "k");
    d.list(EndpointListUpdate.Kind.DELTA, others.toArray(new EndpointDescriptor[0]));
    return d;
  }

  @ParameterizedTest
  @CsvSource({
    // effect, scope, outcome, upstreams that may get the next attempt, final answer where there is
    // none
    "IDEMPOTENT, ALL, REJECTED, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, CONNECT_FAILED, 2 3 4, RejectRequest",
    "IDEMPOTENT, ALL, ERROR, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, RESET, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, TIMEOUT, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, CANCELLED, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, NOT_SENT, 2 3 4, RejectRequest",
    "NOT_IDEMPOTENT, ALL, REJECTED, 2 3 4, RejectRequest",
    "NOT_IDEMPOTENT, ALL, CONNECT_FAILED, 2 3 4, RejectRequest",
    "NOT_IDEMPOTENT, ALL, NOT_SENT, 2 3 4, RejectRequest",
    "NOT_IDEMPOTENT, ALL, ERROR, '', FailRequest",
    "NOT_IDEMPOTENT, ALL, RESET, '', FailRequest",
    "NOT_IDEMPOTENT, ALL, TIMEOUT, '', FailRequest",
    "NOT_IDEMPOTENT, ALL, CANCELLED, '', FailRequest",
    "IDEMPOTENT_WITH_KEY, ALL, REJECTED, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, ALL, ERROR, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, ALL, RESET, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, ALL, TIMEOUT, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, ALL, CANCELLED, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, ZONE, REJECTED, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, ZONE, CONNECT_FAILED, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, ZONE, ERROR, 2 3, FailRequest",
    "IDEMPOTENT_WITH_KEY, ZONE, RESET, 2 3, FailRequest",
    "IDEMPOTENT_WITH_KEY, ZONE, TIMEOUT, 2 3, FailRequest",
    "IDEMPOTENT_WITH_KEY, ZONE, CANCELLED, 2 3, FailRequest",
    "IDEMPOTENT_WITH_KEY, CELL, REJECTED, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, CELL, NOT_SENT, 2 3 4, RejectRequest",
    "IDEMPOTENT_WITH_KEY, CELL, ERROR, 2, FailRequest",
    "IDEMPOTENT_WITH_KEY, CELL, RESET, 2, FailRequest",
    "IDEMPOTENT_WITH_KEY, CELL, TIMEOUT, 2, FailRequest",
    "IDEMPOTENT_WITH_KEY, CELL, CANCELLED, 2, FailRequest"
  })
  void nextAttemptOrFinalAnswer(
      RequestEffect effect,
      DeduplicationScope scope,
      AttemptStatus status,
      String allowed,
      String end) {
    for (long other = 2; other <= 4; other++) {
      PolicyDriver d = fleet(effect, scope, other);
      List<Action> next = d.end("r", FIRST, status, PolicyDriver.MS);
      assertEquals(
          allowed.contains("" + other) ? other : -1,
          PolicyDriver.sentTo(next),
          "sent on to " + other);
    }
    PolicyDriver alone = fleet(effect, scope);
    alone.list(EndpointListUpdate.Kind.FULL);
    List<Action> last = new ArrayList<>(alone.end("r", FIRST, status, PolicyDriver.MS));
    last.addAll(alone.pass(2000 * PolicyDriver.MS));
    List<Action> finals =
        last.stream().filter(a -> a instanceof RejectRequest || a instanceof FailRequest).toList();
    assertEquals(1, finals.size());
    assertEquals(end, finals.get(0).getClass().getSimpleName());
  }

  @Test
  void keyedIsNotResentPastItsWindow() {
    PolicyDriver d = fleet(RequestEffect.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL, 2, 3);
    d.pass(1999 * PolicyDriver.MS);
    assertEquals(
        -1, PolicyDriver.sentTo(d.end("r", FIRST, AttemptStatus.ERROR, 1999 * PolicyDriver.MS)));
  }

  @Test
  void everyRequestIsAnsweredWhenNoUpstreamIsLeft() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe());
    d.list(EndpointListUpdate.Kind.CACHED);
    assertTrue(d.request("r", "c", "k").stream().noneMatch(a -> a instanceof ForwardAttempt));
    assertTrue(PolicyDriver.has(d.pass(2000 * PolicyDriver.MS), RejectRequest.class));
  }

  /** Guards against a time-out that never comes: the answer is still given inside the slack. */
  @Test
  void anAttemptWithoutOutcomeDoesNotKeepARequestPastItsDeadline() {
    PolicyDriver d = fleet(RequestEffect.NOT_IDEMPOTENT, DeduplicationScope.ALL);
    d.pass(2000 * PolicyDriver.MS);
    assertTrue(PolicyDriver.has(d.pass(16 * PolicyDriver.MS), FailRequest.class));
  }

  @Test
  void attemptsStayUnderTheLimitAndAnAnsweredRequestIsLeftAlone() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(12);
    for (int i = 0; i < 50; i++) {
      d.serve("k", PolicyDriver.MS);
    }
    long to = PolicyDriver.sentTo(d.request("r", "c", "k"));
    int sent = 0;
    while (to >= 0) {
      sent++;
      to = PolicyDriver.sentTo(d.end("r", to, AttemptStatus.REJECTED, PolicyDriver.MS));
    }
    assertEquals(4, sent);
    assertFalse(PolicyDriver.has(d.pass(3000 * PolicyDriver.MS), ForwardAttempt.class));
  }

  /**
   * Guards against a retry storm: with every attempt failing, retries stay a fraction of the
   * requests.
   */
  @Test
  void retriesAreBudgeted() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(12);
    int sends = 0;
    for (int i = 0; i < 500; i++) {
      String id = d.nextId();
      long to = PolicyDriver.sentTo(d.request(id, "c", "k" + i));
      while (to >= 0) {
        sends++;
        to = PolicyDriver.sentTo(d.end(id, to, AttemptStatus.REJECTED, PolicyDriver.MS));
      }
      d.pass(PolicyDriver.MS);
    }
    assertTrue(sends > 500 && sends < 500 * 1.2 + 40, "sends: " + sends);
  }

  @Test
  void theListIsAskedForAndAskedAgainAfterAFailure() {
    PolicyDriver d =
        new PolicyDriver(
            PolicyDriver.settings(
                true,
                List.of(),
                PolicyDriver.type("c", RequestEffect.IDEMPOTENT, DeduplicationScope.ALL)));
    assertTrue(
        PolicyDriver.has(
            d.list(EndpointListUpdate.Kind.CACHED, PolicyDriver.up(1)), WatchEndpoints.class));
    for (int i = 0; i < 20; i++) {
      d.list(EndpointListUpdate.Kind.FAILED);
      assertTrue(
          PolicyDriver.has(d.pass(1000 * PolicyDriver.MS), WatchEndpoints.class),
          "asked again before news counts as told");
    }
    assertFalse(
        PolicyDriver.has(
            d.list(EndpointListUpdate.Kind.FULL, PolicyDriver.up(1), PolicyDriver.up(2)),
            WatchEndpoints.class));
    assertFalse(
        PolicyDriver.has(d.pass(9000 * PolicyDriver.MS), WatchEndpoints.class),
        "a subscription is not asked for twice");
  }

  @Test
  void anUpstreamBackWithANewStartIsUsedAgain() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(1);
    d.list(EndpointListUpdate.Kind.FULL);
    assertEquals(-1, d.serve("k", PolicyDriver.MS));
    d.list(
        EndpointListUpdate.Kind.DELTA,
        new EndpointDescriptor(100, "a", 0, EndpointStatus.READY, d.now, 1));
    d.pass(2000 * PolicyDriver.MS);
    assertEquals(100, d.serve("k", PolicyDriver.MS));
  }

  /** Guards against losing an answer that streams on past the deadline. */
  @Test
  void aStartedStreamHasNoDeadline() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(1);
    d.request("r", "c", "k");
    d.step(new ResponseStarted("r", 0, 100, PolicyDriver.MS));
    List<Action> later = d.pass(5000 * PolicyDriver.MS);
    assertTrue(
        later.stream()
            .noneMatch(
                a ->
                    a instanceof FailRequest
                        || a instanceof RejectRequest
                        || a instanceof ForwardAttempt));
  }

  @Test
  void requestWhoseClientLeavesIsSentNowhereWhateverItWaitedFor() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe());
    d.list(EndpointListUpdate.Kind.CACHED);
    d.request("room", "c", "k");
    d.step(new ClientDisconnected("room"));
    List<Action> later =
        d.list(EndpointListUpdate.Kind.FULL, PolicyDriver.up(100), PolicyDriver.up(101));
    later.addAll(d.pass(3000 * PolicyDriver.MS));
    assertEquals(-1, PolicyDriver.sentTo(later), "for room");
    long to = PolicyDriver.sentTo(d.request("retry", "c", "k"));
    assertTrue(PolicyDriver.has(d.step(new ClientDisconnected("retry")), CancelAttempt.class));
    later = d.end("retry", to, AttemptStatus.REJECTED, PolicyDriver.MS);
    later.addAll(d.pass(3000 * PolicyDriver.MS));
    assertEquals(-1, PolicyDriver.sentTo(later), "for its attempt");
  }

  /**
   * Guards the list: a timer that fires a fraction of a microsecond early must not end the asking.
   */
  @Test
  void aTimerThatFiresALittleEarlyStillAsksForTheList() {
    PolicyDriver d =
        new PolicyDriver(
            PolicyDriver.settings(
                true,
                List.of(),
                PolicyDriver.type("c", RequestEffect.IDEMPOTENT, DeduplicationScope.ALL)));
    d.list(EndpointListUpdate.Kind.CACHED, PolicyDriver.up(1));
    d.list(EndpointListUpdate.Kind.FAILED);
    d.now = d.timers.stream().mapToLong(t -> t).max().getAsLong() - 405;
    d.timers.clear();
    List<Action> actions = new ArrayList<>(d.step(new TimerFired("sweep")));
    actions.addAll(d.pass(10 * PolicyDriver.MS));
    assertTrue(PolicyDriver.has(actions, WatchEndpoints.class));
  }

  /**
   * Guards the drain rule: what comes while no watch is on counts as told, however often watches
   * failed before.
   */
  @Test
  void aListThatIsPushedIsAskedForAgainWellInsideTheDrainGrace() {
    PolicySettings settings =
        PolicyDriver.settings(
            false,
            List.of(),
            PolicyDriver.type("c", RequestEffect.IDEMPOTENT, DeduplicationScope.ALL));
    PolicyDriver d = new PolicyDriver(settings).upstreams(1);
    for (int failures = 1; failures <= 20; failures++) {
      d.list(EndpointListUpdate.Kind.FAILED);
      assertTrue(
          PolicyDriver.has(
              d.pass(settings.serviceRules().drainGraceNanos() / 4), WatchEndpoints.class),
          "failure " + failures);
    }
  }

  /**
   * Guards against fixed savings times hundreds of balancers: a quiet start earns one retry, not
   * twenty.
   */
  @Test
  void aBalancerThatHasSeenLittleTrafficRetriesLittle() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe()).upstreams(12);
    int retries = 0;
    for (int i = 0; i < 10; i++) {
      String id = d.nextId();
      long to = PolicyDriver.sentTo(d.request(id, "c", "k" + i));
      for (to = PolicyDriver.sentTo(d.end(id, to, AttemptStatus.REJECTED, PolicyDriver.MS));
          to >= 0;
          to = PolicyDriver.sentTo(d.end(id, to, AttemptStatus.REJECTED, PolicyDriver.MS))) {
        retries++;
      }
      d.pass(300 * PolicyDriver.MS);
    }
    assertTrue(retries >= 1 && retries <= 4, "retries of 10 requests: " + retries);
  }

  /** Guards the adapter's users: ids that are not held any more, and lists of every odd kind. */
  @Test
  void oddButLegalEventsAreTaken() {
    PolicyDriver d = new PolicyDriver(PolicyDriver.safe());
    assertEquals(-1, PolicyDriver.sentTo(d.request("early", "c", "k")), "before any list");
    d.list(EndpointListUpdate.Kind.FAILED);
    d.list(EndpointListUpdate.Kind.CACHED);
    d.list(
        EndpointListUpdate.Kind.FULL,
        new EndpointDescriptor(1, "a", 0, EndpointStatus.DRAINING, 0, 1));
    assertEquals(-1, PolicyDriver.sentTo(d.request("r0", "c", null)));
    d.step(new ClientDisconnected("never"));
    d.step(new TimerFired("never"));
    d.step(new ResponseStarted("never", 0, 9, 1));
    d.step(new AttemptCompleted("never", 3, 9, AttemptStatus.SERVED, 1, true, java.util.Map.of()));
    d.list(EndpointListUpdate.Kind.DELTA, PolicyDriver.up(2));
    assertEquals(2, PolicyDriver.sentTo(d.request("r1", "c", null)));
    assertTrue(PolicyDriver.has(d.request("r2", "unknown", null), RejectRequest.class));
  }
}
