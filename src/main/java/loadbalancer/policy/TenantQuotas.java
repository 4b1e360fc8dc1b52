package loadbalancer.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.settings.Tenant;

/**
 * The tenants' request quotas, as a token bucket for each tenant. Each balancer of a group grants
 * an equal part of a quota, without talking to the others; the bucket holds a second's requests.
 *
 * <p>A request that finds its bucket empty is over quota, not rejected: {@link AdmissionController}
 * rejects such requests earlier than others.
 */
final class TenantQuotas {
  /** Below this, chance alone would put requests of a small quota over it. */
  private static final double MIN_BUCKET_TOKENS = 3;

  private final Map<String, Double> requestsPerSecond = new HashMap<>();
  private final Map<String, TokenBucket> buckets = new HashMap<>();

  /** Full quotas of the tenants, of which this balancer grants one part in {@code groupSize}. */
  TenantQuotas(List<Tenant> tenants, int groupSize) {
    for (Tenant tenant : tenants) {
      requestsPerSecond.put(tenant.name(), tenant.quotaPerSecond() / groupSize);
    }
  }

  /**
   * Takes a token from the tenant's bucket.
   *
   * @param tenant the tenant, or null for none
   * @return false where the tenant has a quota and its bucket is empty
   */
  boolean tryAcquire(String tenant, long nowNanos) {
    double rate = tenant == null ? 0 : requestsPerSecond.getOrDefault(tenant, 0.0);
    if (rate == 0) {
      return true;
    }
    TokenBucket bucket = buckets.computeIfAbsent(tenant, absent -> new TokenBucket());
    if (bucket.refill(nowNanos, rate, Math.max(MIN_BUCKET_TOKENS, rate)) < 1) {
      return false;
    }
    bucket.take(1);
    return true;
  }

  /** Whether the tenant has a quota and sent requests before. */
  boolean isLimited(String tenant) {
    return buckets.containsKey(tenant);
  }
}
