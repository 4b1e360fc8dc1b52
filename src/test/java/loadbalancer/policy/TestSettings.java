package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;

import java.util.List;
import loadbalancer.policy.settings.Costs;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.Limits;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;
import loadbalancer.policy.settings.ServiceRules;
import loadbalancer.policy.settings.Tenant;
import loadbalancer.policy.settings.WeightKind;

/**
 * Builds policy settings for tests. The defaults are one balancer in zone a, one class of
 * idempotent requests with a latency objective of 400 ms, a pushed endpoint list and no tenants.
 */
final class TestSettings {

  /** The name of the only request class. */
  static final String REQUEST_CLASS = "c";

  /** How long clients wait for a response, including their own retries. */
  static final long DEADLINE_NANOS = millis(2000);

  private static final long MAX_POLL_INTERVAL_NANOS = millis(10_000);

  private int instanceIndex;
  private int groupSize = 1;
  private String zone = "a";
  private RequestClass requestClass =
      requestClass(RequestEffect.IDEMPOTENT, DeduplicationScope.ALL);
  private List<Tenant> tenants = List.of();
  private ServiceRules serviceRules =
      new ServiceRules(
          /* responseSlackNanos= */ millis(8),
          /* maxPollIntervalNanos= */ 0,
          /* drainGraceNanos= */ millis(250),
          /* initialCapacityFraction= */ 0.3,
          /* warmUpNanos= */ millis(8000),
          /* overloadMultiple= */ 3,
          /* overloadWindowNanos= */ millis(3000));
  private double crossZoneCost;
  private boolean endpointListPolled;
  private WeightKind weightKind = WeightKind.NONE;

  /** Returns the default settings. */
  static PolicySettings defaults() {
    return new TestSettings().build();
  }

  private static RequestClass requestClass(RequestEffect effect, DeduplicationScope scope) {
    return new RequestClass(
        REQUEST_CLASS,
        effect,
        scope,
        /* deduplicationWindowNanos= */ millis(2000),
        /* latencyObjectiveNanos= */ millis(400),
        /* objectiveStretch= */ 0,
        DEADLINE_NANOS,
        /* priorityWeight= */ 1,
        /* lateFraction= */ 0,
        /* streamed= */ false);
  }

  /** Sets the balancer's place in its group, and its zone. */
  TestSettings balancer(int newInstanceIndex, int newGroupSize, String newZone) {
    instanceIndex = newInstanceIndex;
    groupSize = newGroupSize;
    zone = newZone;
    return this;
  }

  /** Sets the effect and deduplication scope of the request class. */
  TestSettings requestEffect(RequestEffect effect, DeduplicationScope scope) {
    requestClass = requestClass(effect, scope);
    return this;
  }

  TestSettings tenants(Tenant... newTenants) {
    tenants = List.of(newTenants);
    return this;
  }

  TestSettings serviceRules(ServiceRules newServiceRules) {
    serviceRules = newServiceRules;
    return this;
  }

  TestSettings responseSlack(long nanos) {
    return serviceRules(nanos, serviceRules.maxPollIntervalNanos());
  }

  TestSettings crossZoneCost(double newCrossZoneCost) {
    crossZoneCost = newCrossZoneCost;
    return this;
  }

  TestSettings weightKind(WeightKind newWeightKind) {
    weightKind = newWeightKind;
    return this;
  }

  /** Sets that the endpoint list is polled rather than pushed. */
  TestSettings endpointListPolled() {
    endpointListPolled = true;
    return serviceRules(serviceRules.responseSlackNanos(), MAX_POLL_INTERVAL_NANOS);
  }

  private TestSettings serviceRules(long responseSlackNanos, long maxPollIntervalNanos) {
    return serviceRules(
        new ServiceRules(
            responseSlackNanos,
            maxPollIntervalNanos,
            serviceRules.drainGraceNanos(),
            serviceRules.initialCapacityFraction(),
            serviceRules.warmUpNanos(),
            serviceRules.overloadMultiple(),
            serviceRules.overloadWindowNanos()));
  }

  PolicySettings build() {
    return new PolicySettings(
        instanceIndex,
        groupSize,
        zone,
        List.of(requestClass),
        tenants,
        new Limits(
            /* cancellation= */ true,
            /* healthChecks= */ false,
            /* peerMessages= */ false,
            /* hedging= */ true,
            /* retryAfter= */ true,
            /* maxRetryAfterNanos= */ millis(1000),
            /* maxAttempts= */ 4,
            /* maxPendingRequests= */ 10_000,
            /* streamsPerConnection= */ 1,
            /* connectTimeoutNanos= */ millis(200),
            /* connectionIdleTimeoutNanos= */ millis(5000)),
        serviceRules,
        new Costs(crossZoneCost, 0, 0),
        endpointListPolled,
        weightKind,
        /* overQuotaWeight= */ 0.2,
        /* endpointsCacheKeys= */ true,
        /* clockResolutionNanos= */ millis(1));
  }
}
