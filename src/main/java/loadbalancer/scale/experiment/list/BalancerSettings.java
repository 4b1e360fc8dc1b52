package loadbalancer.scale.experiment.list;

import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.settings.Costs;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.Limits;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;
import loadbalancer.policy.settings.ServiceRules;
import loadbalancer.policy.settings.WeightKind;

/** The settings of the balancer that the experiment gives its lists to. */
final class BalancerSettings {

  /** The name of the only request class. */
  static final String REQUEST_CLASS = "page";

  /** How long clients wait for a response. */
  static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private BalancerSettings() {}

  /** Creates the settings of the policy. */
  static PolicySettings policySettings() {
    return new PolicySettings(
        /* instanceIndex= */ 0,
        /* groupSize= */ 1,
        /* zone= */ "z00",
        List.of(requestClass()),
        /* tenants= */ List.of(),
        limits(),
        serviceRules(),
        new Costs(/* crossZone= */ 0, /* waste= */ 0, /* lateFailure= */ 0),
        /* endpointListPolled= */ false,
        WeightKind.NONE,
        /* overQuotaWeight= */ 1,
        /* endpointsCacheKeys= */ true,
        /* clockResolutionNanos= */ millis(1));
  }

  private static RequestClass requestClass() {
    return new RequestClass(
        REQUEST_CLASS,
        RequestEffect.IDEMPOTENT,
        DeduplicationScope.ALL,
        /* deduplicationWindowNanos= */ 0,
        /* latencyObjectiveNanos= */ millis(200),
        /* objectiveStretch= */ 0,
        DEADLINE_NANOS,
        /* priorityWeight= */ 1,
        /* lateFraction= */ 0,
        /* streamed= */ false);
  }

  private static Limits limits() {
    return new Limits(
        /* cancellation= */ false,
        /* healthChecks= */ false,
        /* peerMessages= */ false,
        /* hedging= */ false,
        /* retryAfter= */ true,
        /* maxRetryAfterNanos= */ millis(1000),
        /* maxAttempts= */ 3,
        /* maxPendingRequests= */ 10_000,
        /* streamsPerConnection= */ 1,
        /* connectTimeoutNanos= */ millis(250),
        /* connectionIdleTimeoutNanos= */ millis(15_000));
  }

  private static ServiceRules serviceRules() {
    return new ServiceRules(
        /* responseSlackNanos= */ millis(20),
        /* maxPollIntervalNanos= */ 0,
        /* drainGraceNanos= */ millis(1000),
        /* initialCapacityFraction= */ 0.2,
        /* warmUpNanos= */ millis(10_000),
        /* overloadMultiple= */ 3,
        /* overloadWindowNanos= */ millis(2000));
  }

  private static long millis(long duration) {
    return TimeUnit.MILLISECONDS.toNanos(duration);
  }
}
