package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;

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

/** How a proxy embeds a policy: settings once, then events in and actions out. */
final class EmbeddingExample {

  private EmbeddingExample() {}

  /** One balancer, two endpoints, one request; the actions that the proxy is to carry out. */
  static List<Action> firstRequest() {
    RequestClass page =
        new RequestClass(
            "page",
            RequestEffect.IDEMPOTENT,
            DeduplicationScope.ALL,
            0,
            millis(200),
            0,
            millis(1000),
            1,
            0,
            false);
    Limits limits =
        new Limits(
            true,
            false,
            false,
            true,
            true,
            millis(1000),
            3,
            10_000,
            1,
            millis(250),
            millis(15_000));
    ServiceRules serviceRules =
        new ServiceRules(millis(20), 0, millis(1000), 0.2, millis(10_000), 3, millis(2000));
    PolicySettings settings =
        new PolicySettings(
            0,
            1,
            "zone-a",
            List.of(page),
            List.of(),
            limits,
            serviceRules,
            new Costs(0, 0, 0),
            false,
            WeightKind.NONE,
            1,
            false,
            millis(1));

    LoadBalancingPolicy policy = new AdaptiveLoadBalancingPolicy(settings, 42);
    List<Action> actions = new ArrayList<>();
    long nowNanos = millis(5_000);
    EndpointDescriptor first = new EndpointDescriptor(1, "zone-a", 0, EndpointStatus.READY, 0, 1);
    EndpointDescriptor second = new EndpointDescriptor(2, "zone-a", 0, EndpointStatus.READY, 0, 1);
    policy.handle(
        nowNanos,
        new EndpointListUpdate(EndpointListUpdate.Kind.CACHED, List.of(first, second)),
        actions::add);
    policy.handle(
        nowNanos,
        new RequestArrived("r1", "page", null, "user-7", nowNanos + millis(800), 0, false),
        actions::add);
    return actions;
  }
}
