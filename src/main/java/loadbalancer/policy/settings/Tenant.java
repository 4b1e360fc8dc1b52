package loadbalancer.policy.settings;

/**
 * A tenant of the deployment.
 *
 * @param name the tenant's name on the wire
 * @param capacityShare the fraction of the service that the tenant is entitled to
 * @param quotaPerSecond requests a second over all balancers; 0 where no quota is stated
 */
public record Tenant(String name, double capacityShare, double quotaPerSecond) {}
