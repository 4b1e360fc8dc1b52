package loadbalancer.policy;

/**
 * A token bucket whose rate and size may change with each refill. It starts empty, with its last
 * refill at clock reading 0. Not thread-safe.
 */
final class TokenBucket {
  private double tokens;
  private long lastRefillNanos;

  /**
   * Adds the tokens for the time since the last refill, up to {@code maxTokens} in total.
   *
   * @return the number of tokens now in the bucket
   */
  double refill(long nowNanos, double tokensPerSecond, double maxTokens) {
    tokens = Math.min(maxTokens, tokens + tokensPerSecond * (nowNanos - lastRefillNanos) / 1e9);
    lastRefillNanos = nowNanos;
    return tokens;
  }

  /** Removes tokens; the caller checks beforehand that the bucket holds them. */
  void take(double amount) {
    tokens -= amount;
  }

  /** Empties the bucket; the next refill counts from {@code nowNanos}. */
  void reset(long nowNanos) {
    tokens = 0;
    lastRefillNanos = nowNanos;
  }
}
