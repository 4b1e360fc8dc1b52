package loadbalancer.policy.settings;

import java.util.List;

/**
 * The settings of one balancer, handed over once when its policy is made. Settings that make no
 * sense are an {@link IllegalArgumentException} that names the setting.
 *
 * @param instanceIndex the balancer's index in its group, from 0
 * @param groupSize the number of balancers in the group
 * @param zone the balancer's availability zone
 * @param requestClasses the classes of requests, at least one
 * @param tenants the tenants; may be empty
 * @param limits what the deployment allows
 * @param serviceRules the figures of the rules
 * @param costs what units cost
 * @param endpointListPolled whether the endpoint list comes only on request
 * @param weightKind what endpoint weights mean
 * @param overQuotaWeight the fraction of its class's weight that a request over quota is worth
 * @param endpointsCacheKeys whether an endpoint serves a key faster that it served recently
 * @param clockResolutionNanos the shortest time between two readings of the balancer's clock
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

  /** Checks every setting. */
  public PolicySettings {
    check(groupSize > 0, "group size must be above 0");
    check(!requestClasses.isEmpty(), "classes must not be empty");
    requestClasses.forEach(PolicySettings::check);
    tenants.forEach(PolicySettings::check);
    check(limits);
    check(serviceRules);
    check(clockResolutionNanos >= 0, "tick must not be negative");
  }

  private static void check(RequestClass requestClass) {
    String name = requestClass.name();
    check(requestClass.latencyObjectiveNanos() > 0, "aim of class " + name + " must be above 0");
    check(requestClass.deadlineNanos() > 0, "deadline of class " + name + " must be above 0");
    check(
        requestClass.deduplicationWindowNanos() >= 0,
        "dedup window of class " + name + " must not be negative");
    check(
        requestClass.priorityWeight() >= 0 && requestClass.lateFraction() >= 0,
        "worth of class " + name + " must not be negative");
  }

  private static void check(Tenant tenant) {
    check(
        tenant.capacityShare() >= 0 && tenant.quotaPerSecond() >= 0,
        "share and quota of tenant " + tenant.name() + " must not be negative");
  }

  private static void check(Limits limits) {
    check(limits.maxAttempts() > 0, "max attempts must be above 0");
    check(limits.maxOpenRequests() > 0, "max open must be above 0");
    check(limits.maxRetryAfterNanos() >= 0, "max retry-after must not be negative");
  }

  private static void check(ServiceRules rules) {
    check(rules.responseSlackNanos() >= 0, "answer slack must not be negative");
    check(rules.maxPollIntervalNanos() >= 0, "ask-within must not be negative");
    check(rules.drainGraceNanos() >= 0, "drain grace must not be negative");
    check(
        rules.initialCapacityFraction() > 0 && rules.initialCapacityFraction() <= 1,
        "cold-from must be above 0 and at most 1");
    check(rules.warmUpNanos() >= 0, "warm-within must not be negative");
    check(
        rules.overloadMultiple() > 0 && rules.overloadWindowNanos() >= 0,
        "fall figures must not be negative");
  }

  private static void check(boolean valid, String message) {
    if (!valid) {
      throw new IllegalArgumentException("settings: " + message);
    }
  }
}
