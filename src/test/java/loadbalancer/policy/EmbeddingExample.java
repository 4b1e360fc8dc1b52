package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.settings.Costs;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.Limits;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;
import loadbalancer.policy.settings.ServiceRules;
import loadbalancer.policy.settings.WeightKind;

/** How a proxy embeds the module: settings once, then events in, actions out. */
final class EmbeddingExample {

  private static final long MS = 1_000_000L;

  private EmbeddingExample() {}

  /** One balancer, two upstreams, one request; the actions that the proxy is asked to carry out. */
  static List<Action> firstRequest() {
    RequestClass page =
        new RequestClass(
            "page",
            RequestEffect.IDEMPOTENT,
            DeduplicationScope.ALL,
            0,
            200 * MS,
            0,
            1000 * MS,
            1,
            0,
            false);
    Limits limits =
        new Limits(true, false, false, true, true, 1000 * MS, 3, 10_000, 1, 250 * MS, 15_000 * MS);
    ServiceRules contract = new ServiceRules(20 * MS, 0, 1000 * MS, 0.2, 10_000 * MS, 3, 2000 * MS);
    PolicySettings settings =
        new PolicySettings(
            0,
            1,
            "zone-a",
            List.of(page),
            List.of(),
            limits,
            contract,
            new Costs(0, 0, 0),
            false,
            WeightKind.NONE,
            1,
            false,
            MS);

    LoadBalancingPolicy balancer = new AdaptiveLoadBalancingPolicy(settings, 42);
    List<Action> actions = new ArrayList<>();
    long clock = 5_000 * MS;
    EndpointDescriptor one = new EndpointDescriptor(1, "zone-a", 0, EndpointStatus.READY, 0, 1);
    EndpointDescriptor two = new EndpointDescriptor(2, "zone-a", 0, EndpointStatus.READY, 0, 1);
    balancer.handle(
        clock,
        new EndpointListUpdate(EndpointListUpdate.Kind.CACHED, List.of(one, two)),
        actions::add);
    balancer.handle(
        clock,
        new RequestArrived("r1", "page", null, "user-7", clock + 800 * MS, 0, false),
        actions::add);
    return actions;
  }
}
