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

/**
 * Shows how a proxy embeds a policy: it creates the policy with its settings, passes events in and
 * carries out the resulting actions.
 */
final class EmbeddingExample {

  private EmbeddingExample() {}

  /** Passes an endpoint list and one request to a policy and returns the resulting actions. */
  static List<Action> firstRequest() {
    LoadBalancingPolicy policy = new AdaptiveLoadBalancingPolicy(settings(), /* seed= */ 42);
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

  private static PolicySettings settings() {
    RequestClass page =
        new RequestClass(
            "page",
            RequestEffect.IDEMPOTENT,
            DeduplicationScope.ALL,
            /* deduplicationWindowNanos= */ 0,
            /* latencyObjectiveNanos= */ millis(200),
            /* objectiveStretch= */ 0,
            /* deadlineNanos= */ millis(1000),
            /* priorityWeight= */ 1,
            /* lateFraction= */ 0,
            /* streamed= */ false);
    Limits limits =
        new Limits(
            /* cancellation= */ true,
            /* healthChecks= */ false,
            /* peerMessages= */ false,
            /* hedging= */ true,
            /* retryAfter= */ true,
            /* maxRetryAfterNanos= */ millis(1000),
            /* maxAttempts= */ 3,
            /* maxPendingRequests= */ 10_000,
            /* streamsPerConnection= */ 1,
            /* connectTimeoutNanos= */ millis(250),
            /* connectionIdleTimeoutNanos= */ millis(15_000));
    ServiceRules serviceRules =
        new ServiceRules(
            /* responseSlackNanos= */ millis(20),
            /* maxPollIntervalNanos= */ 0,
            /* drainGraceNanos= */ millis(1000),
            /* initialCapacityFraction= */ 0.2,
            /* warmUpNanos= */ millis(10_000),
            /* overloadMultiple= */ 3,
            /* overloadWindowNanos= */ millis(2000));
    return new PolicySettings(
        /* instanceIndex= */ 0,
        /* groupSize= */ 1,
        "zone-a",
        List.of(page),
        /* tenants= */ List.of(),
        limits,
        serviceRules,
        new Costs(/* crossZone= */ 0, /* waste= */ 0, /* lateFailure= */ 0),
        /* endpointListPolled= */ false,
        WeightKind.NONE,
        /* overQuotaWeight= */ 1,
        /* endpointsCacheKeys= */ false,
        /* clockResolutionNanos= */ millis(1));
  }
}
