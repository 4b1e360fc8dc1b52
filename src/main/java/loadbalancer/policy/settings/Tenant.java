package loadbalancer.policy.settings;

/**
 * A tenant of the deployment.
 *
 * @param name the tenant's name, as requests give it
 * @param capacityShare the fraction of the service's capacity that the tenant is entitled to
 * @param quotaPerSecond the quota in requests per second over all balancers; 0 without a quota
 */
public record Tenant(String name, double capacityShare, double quotaPerSecond) {}
