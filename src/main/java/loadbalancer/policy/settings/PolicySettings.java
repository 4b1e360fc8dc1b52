package loadbalancer.policy.settings;

import java.util.List;

/**
 * The settings of one balancer, passed once when its policy is created. The messages of {@link
 * IllegalArgumentException} use the field names of the settings object.
 *
 * @param instanceIndex the balancer's index in its group, from 0
 * @param groupSize the number of balancers in the group
 * @param zone the balancer's availability zone
 * @param requestClasses the request classes; at least one
 * @param tenants the tenants; may be empty
 * @param limits the optional features and resource limits of the deployment
 * @param serviceRules the parameters of the service's rules
 * @param costs the cost weights
 * @param endpointListPolled whether the endpoint list is polled rather than pushed
 * @param weightKind the meaning of endpoint weights
 * @param overQuotaWeight the fraction of its priority weight that a request over quota keeps
 * @param endpointsCacheKeys whether endpoints serve keys that they served recently faster
 * @param clockResolutionNanos the resolution of the balancer's clock
 */
public record PolicySettings(
    int instanceIndex,
    int groupSize,
    String zone,
    List<RequestClass> requestClasses,
    List<Tenant> tenants,
    Limits limits,
    ServiceRules serviceRules,
    Costs costs,
    boolean endpointListPolled,
    WeightKind weightKind,
    double overQuotaWeight,
    boolean endpointsCacheKeys,
    long clockResolutionNanos) {

  /**
   * Checks the ranges of the settings that the policy depends on.
   *
   * @throws IllegalArgumentException if a setting is out of range
   */
  public PolicySettings {
    checkAboveZero("group-size", groupSize);
    check(!requestClasses.isEmpty(), "categories: must have at least one entry, got 0");
    requestClasses.forEach(PolicySettings::check);
    tenants.forEach(PolicySettings::check);
    check(limits);
    check(serviceRules);
    checkNotNegative("resolution-ns", clockResolutionNanos);
  }

  private static void check(RequestClass requestClass) {
    String ofCategory = " of category " + requestClass.name();
    checkAboveZero("aim-ns" + ofCategory, requestClass.latencyObjectiveNanos());
    checkAboveZero("deadline-ns" + ofCategory, requestClass.deadlineNanos());
    checkNotNegative("window-ns" + ofCategory, requestClass.deduplicationWindowNanos());
    checkNotNegative("gain" + ofCategory, requestClass.priorityWeight());
    checkNotNegative("late-worth" + ofCategory, requestClass.lateFraction());
  }

  private static void check(Tenant tenant) {
    String ofProject = " of project " + tenant.name();
    checkNotNegative("portion" + ofProject, tenant.capacityShare());
    checkNotNegative("quota-per-s" + ofProject, tenant.quotaPerSecond());
  }

  private static void check(Limits limits) {
    checkAboveZero("limits.max-attempts", limits.maxAttempts());
    checkAboveZero("limits.most-held", limits.maxPendingRequests());
    checkNotNegative("limits.max-retry-after-ns", limits.maxRetryAfterNanos());
  }

  private static void check(ServiceRules rules) {
    checkNotNegative("contract.answer-slack-ns", rules.responseSlackNanos());
    checkNotNegative("contract.ask-within-ns", rules.maxPollIntervalNanos());
    checkNotNegative("contract.drain-grace-ns", rules.drainGraceNanos());
    check(
        rules.initialCapacityFraction() > 0 && rules.initialCapacityFraction() <= 1,
        "contract.cold-from: must be above 0 and at most 1, got "
            + rules.initialCapacityFraction());
    checkNotNegative("contract.warm-within-ns", rules.warmUpNanos());
    checkAboveZero("contract.fall-multiple", rules.overloadMultiple());
    checkNotNegative("contract.overload-for-ns", rules.overloadWindowNanos());
  }

  private static void checkAboveZero(String field, Number value) {
    check(value.doubleValue() > 0, field + ": must be above 0, got " + value);
  }

  private static void checkNotNegative(String field, Number value) {
    check(value.doubleValue() >= 0, field + ": must not be negative, got " + value);
  }

  private static void check(boolean valid, String message) {
    if (!valid) {
      throw new IllegalArgumentException("settings: " + message);
    }
  }
}
