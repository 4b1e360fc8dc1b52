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
    check(groupSize > 0, "group-size: must be above 0, got " + groupSize);
    check(!requestClasses.isEmpty(), "categories: must have at least one entry, got 0");
    requestClasses.forEach(PolicySettings::check);
    tenants.forEach(PolicySettings::check);
    check(limits);
    check(serviceRules);
    check(
        clockResolutionNanos >= 0,
        "resolution-ns: must not be negative, got " + clockResolutionNanos);
  }

  private static void check(RequestClass requestClass) {
    String ofCategory = " of category " + requestClass.name();
    check(
        requestClass.latencyObjectiveNanos() > 0,
        "aim-ns" + ofCategory + ": must be above 0, got " + requestClass.latencyObjectiveNanos());
    check(
        requestClass.deadlineNanos() > 0,
        "deadline-ns" + ofCategory + ": must be above 0, got " + requestClass.deadlineNanos());
    check(
        requestClass.deduplicationWindowNanos() >= 0,
        "window-ns"
            + ofCategory
            + ": must not be negative, got "
            + requestClass.deduplicationWindowNanos());
    check(
        requestClass.priorityWeight() >= 0,
        "gain" + ofCategory + ": must not be negative, got " + requestClass.priorityWeight());
    check(
        requestClass.lateFraction() >= 0,
        "late-worth" + ofCategory + ": must not be negative, got " + requestClass.lateFraction());
  }

  private static void check(Tenant tenant) {
    String ofProject = " of project " + tenant.name();
    check(
        tenant.capacityShare() >= 0,
        "portion" + ofProject + ": must not be negative, got " + tenant.capacityShare());
    check(
        tenant.quotaPerSecond() >= 0,
        "quota-per-s" + ofProject + ": must not be negative, got " + tenant.quotaPerSecond());
  }

  private static void check(Limits limits) {
    check(
        limits.maxAttempts() > 0,
        "limits.max-attempts: must be above 0, got " + limits.maxAttempts());
    check(
        limits.maxPendingRequests() > 0,
        "limits.most-held: must be above 0, got " + limits.maxPendingRequests());
    check(
        limits.maxRetryAfterNanos() >= 0,
        "limits.max-retry-after-ns: must not be negative, got " + limits.maxRetryAfterNanos());
  }

  private static void check(ServiceRules rules) {
    check(
        rules.responseSlackNanos() >= 0,
        "contract.answer-slack-ns: must not be negative, got " + rules.responseSlackNanos());
    check(
        rules.maxPollIntervalNanos() >= 0,
        "contract.ask-within-ns: must not be negative, got " + rules.maxPollIntervalNanos());
    check(
        rules.drainGraceNanos() >= 0,
        "contract.drain-grace-ns: must not be negative, got " + rules.drainGraceNanos());
    check(
        rules.initialCapacityFraction() > 0 && rules.initialCapacityFraction() <= 1,
        "contract.cold-from: must be above 0 and at most 1, got "
            + rules.initialCapacityFraction());
    check(
        rules.warmUpNanos() >= 0,
        "contract.warm-within-ns: must not be negative, got " + rules.warmUpNanos());
    check(
        rules.overloadMultiple() > 0,
        "contract.fall-multiple: must be above 0, got " + rules.overloadMultiple());
    check(
        rules.overloadWindowNanos() >= 0,
        "contract.overload-for-ns: must not be negative, got " + rules.overloadWindowNanos());
  }

  private static void check(boolean valid, String message) {
    if (!valid) {
      throw new IllegalArgumentException("settings: " + message);
    }
  }
}
