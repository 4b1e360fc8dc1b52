package loadbalancer.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.settings.Tenant;

/**
 * The tenants' request quotas, each enforced by a token bucket. Each balancer of a group grants an
 * equal share of a quota without communicating with the others. A bucket holds the tokens of one
 * second.
 *
 * <p>A request whose bucket is empty is marked as over quota and not rejected for that alone.
 * {@link AdmissionController} rejects such requests at lower latencies than others.
 */
final class TenantQuotas {
  /** The smallest bucket; with less, random arrivals alone would exceed a small quota. */
  private static final double MIN_BUCKET_TOKENS = 3;

  /** This balancer's share of the quota, by tenant name; 0 without a quota. */
  private final Map<String, Double> requestsPerSecond = new HashMap<>();

  private final Map<String, TokenBucket> buckets = new HashMap<>();

  /**
   * Creates the quotas of the given tenants.
   *
   * @param groupSize the number of balancers that share each quota
   */
  TenantQuotas(List<Tenant> tenants, int groupSize) {
    for (Tenant tenant : tenants) {
      requestsPerSecond.put(tenant.name(), tenant.quotaPerSecond() / groupSize);
    }
  }

  /**
   * Takes a token from the tenant's bucket for one request.
   *
   * @param tenant the tenant's name, or null for none
   * @return false if the tenant has a quota and its bucket is empty
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

  /** Returns whether the tenant has a quota and has sent requests before. */
  boolean isLimited(String tenant) {
    return buckets.containsKey(tenant);
  }
}
