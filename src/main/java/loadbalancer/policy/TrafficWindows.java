package loadbalancer.policy;

/**
 * The sliding windows that count one request, beside the one of the whole fleet.
 *
 * @param isOverQuota whether the request is over its tenant's quota
 * @param quotaGroup all work inside quotas, or all work over them
 * @param classAndTenant the work of the request's class and tenant, inside or over the quota
 * @param key the same on the request's key
 */
record TrafficWindows(
    boolean isOverQuota,
    SlidingWindow quotaGroup,
    SlidingWindow classAndTenant,
    SlidingWindow key) {}
