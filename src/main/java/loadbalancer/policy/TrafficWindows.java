package loadbalancer.policy;

/**
 * The sliding windows of {@link TrafficStatistics} that count one request, except for the fleet's.
 * Each counts either requests within quota or requests over quota, never both.
 *
 * @param isOverQuota whether the request is over its tenant's quota
 * @param quotaGroup counts the requests of all classes and tenants
 * @param classAndTenant counts the requests of the same class and tenant
 * @param key counts the requests of the same class, tenant and key
 */
record TrafficWindows(
    boolean isOverQuota,
    SlidingWindow quotaGroup,
    SlidingWindow classAndTenant,
    SlidingWindow key) {}
