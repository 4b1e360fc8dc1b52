package loadbalancer.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.RejectRequest;
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
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.Limits;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;
import loadbalancer.policy.settings.ServiceRules;
import loadbalancer.policy.settings.Tenant;
import loadbalancer.policy.settings.WeightKind;

/** Drives one instance by hand: a clock, its timers, and the actions of the last step. */
final class PolicyDriver {

  static final long MS = 1_000_000L;

  final LoadBalancingPolicy module;
  final List<Long> timers = new ArrayList<>();
  final List<Sent> outstanding = new ArrayList<>();
  final Map<String, Integer> refusals = new HashMap<>();
  final Map<String, Integer> attempts = new HashMap<>();
  long now = 1_000_000_000_000L;
  private int ids;

  /** An attempt that has no outcome yet. */
  record Sent(String requestId, int attempt, long endpointId, long at) {}

  PolicyDriver(PolicySettings settings) {
    this(settings, 7);
  }

  PolicyDriver(PolicySettings settings, long seed) {
    module = new AdaptiveLoadBalancingPolicy(settings, seed);
  }

  static RequestClass type(String name, RequestEffect effect, DeduplicationScope scope) {
    return new RequestClass(name, effect, scope, 2000 * MS, 400 * MS, 0, 2000 * MS, 1, 0, false);
  }

  static PolicySettings settings(boolean onRequest, List<Tenant> tenants, RequestClass... classes) {
    return new PolicySettings(
        0,
        1,
        "a",
        List.of(classes),
        tenants,
        new Limits(true, false, false, true, true, 1000 * MS, 4, 10_000, 1, 200 * MS, 5000 * MS),
        new ServiceRules(
            8 * MS, onRequest ? 10_000 * MS : 0, 250 * MS, 0.3, 8000 * MS, 3, 3000 * MS),
        new Costs(0, 0, 0),
        onRequest,
        WeightKind.NONE,
        0.2,
        true,
        MS);
  }

  static PolicySettings safe() {
    return settings(false, List.of(), type("c", RequestEffect.IDEMPOTENT, DeduplicationScope.ALL));
  }

  static EndpointDescriptor up(long id) {
    return new EndpointDescriptor(id, "a", 0, EndpointStatus.READY, 0, 1);
  }

  List<Action> step(Event event) {
    List<Action> actions = new ArrayList<>();
    module.handle(now, event, actions::add);
    for (Action action : actions) {
      if (action instanceof SetTimer t) {
        timers.add(t.fireAtNanos());
      } else if (action instanceof RejectRequest r) {
        refusals.merge(r.requestId().substring(0, 1), 1, Integer::sum);
      } else if (action instanceof ForwardAttempt s) {
        outstanding.add(
            new Sent(
                s.requestId(),
                attempts.merge(s.requestId(), 1, Integer::sum) - 1,
                s.endpointId(),
                now));
      }
    }
    return actions;
  }

  List<Action> list(EndpointListUpdate.Kind kind, EndpointDescriptor... entries) {
    return step(new EndpointListUpdate(kind, List.of(entries)));
  }

  PolicyDriver upstreams(int n) {
    EndpointDescriptor[] entries = new EndpointDescriptor[n];
    for (int i = 0; i < n; i++) {
      entries[i] = up(100 + i);
    }
    list(EndpointListUpdate.Kind.CACHED, entries);
    return this;
  }

  String nextId() {
    return "r" + ids++;
  }

  List<Action> request(String id, String type, String key) {
    return request(id, type, null, key, 0);
  }

  List<Action> request(String id, String type, String tenant, String key, long hint) {
    return step(new RequestArrived(id, type, tenant, key, now + 2000 * MS, hint, false));
  }

  /** Ends the attempt of a request at an upstream. */
  List<Action> end(String id, long upstream, AttemptStatus status, long latencyNanos) {
    Sent sent =
        outstanding.stream()
            .filter(s -> s.requestId().equals(id) && s.endpointId() == upstream)
            .findFirst()
            .get();
    return end(sent, status, latencyNanos);
  }

  List<Action> end(Sent sent, AttemptStatus status, long latencyNanos) {
    outstanding.remove(sent);
    return step(
        new AttemptCompleted(
            sent.requestId(),
            sent.attempt(),
            sent.endpointId(),
            status,
            latencyNanos,
            status == AttemptStatus.SERVED,
            Map.of()));
  }

  /**
   * The last attempt of a request found a kept connection broken; what it is sent to next serves
   * it.
   */
  void endStale(String id) {
    Sent sent = outstanding.stream().filter(s -> s.requestId().equals(id)).findFirst().get();
    outstanding.remove(sent);
    step(
        new AttemptCompleted(
            id, sent.attempt(), sent.endpointId(), AttemptStatus.RESET, MS, false, Map.of(), true));
    for (Sent again : List.copyOf(outstanding)) {
      end(again, AttemptStatus.SERVED, MS);
    }
  }

  /** Lets time pass with upstreams that end every attempt after the latency. */
  void serveFor(long nanos, AttemptStatus status, long latencyNanos) {
    serveFor(nanos, status, latencyNanos, Long.MAX_VALUE);
  }

  /**
   * The same with so much of the time at most spent at the upstream, and the rest in the balancer.
   */
  void serveFor(long nanos, AttemptStatus status, long outNanos, long latencyNanos) {
    for (long end = now + nanos; now < end; ) {
      pass(Math.min(5 * MS, end - now));
      for (Sent s : List.copyOf(outstanding)) {
        if (now - s.at() >= outNanos && outstanding.contains(s)) {
          end(s, status, Math.min(latencyNanos, now - s.at()));
        }
      }
    }
  }

  /**
   * Sends one request and has it served after a latency; the upstream it went to, or -1 where it
   * was not sent.
   */
  long serve(String key, long latencyNanos) {
    String id = nextId();
    long upstream = sentTo(request(id, "c", key));
    if (upstream >= 0) {
      pass(latencyNanos);
      end(id, upstream, AttemptStatus.SERVED, latencyNanos);
    }
    return upstream;
  }

  /** Lets time pass, firing the timers that come due; the actions of all of them. */
  List<Action> pass(long nanos) {
    List<Action> actions = new ArrayList<>();
    long end = now + nanos;
    while (true) {
      long due = timers.stream().mapToLong(t -> t).min().orElse(Long.MAX_VALUE);
      if (due > end) {
        break;
      }
      timers.remove(due);
      now = Math.max(now, due);
      actions.addAll(step(new TimerFired("sweep")));
    }
    now = end;
    return actions;
  }

  static long sentTo(List<Action> actions) {
    return actions.stream()
        .filter(a -> a instanceof ForwardAttempt)
        .mapToLong(a -> ((ForwardAttempt) a).endpointId())
        .findFirst()
        .orElse(-1);
  }

  static boolean has(List<Action> actions, Class<? extends Action> kind) {
    return actions.stream().anyMatch(kind::isInstance);
  }
}
