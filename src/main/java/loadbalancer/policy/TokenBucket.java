package loadbalancer.policy;

/**
 * A token bucket whose rate and size may differ from one refill to the next. It starts empty, as if
 * last refilled at clock reading 0.
 */
final class TokenBucket {
  private double tokens;
  private long refilledAtNanos;

  /**
   * Adds the tokens of the time since the last refill, up to {@code maxTokens}.
   *
   * @return the tokens now in the bucket
   */
  double refill(long nowNanos, double tokensPerSecond, double maxTokens) {
    tokens = Math.min(maxTokens, tokens + tokensPerSecond * (nowNanos - refilledAtNanos) / 1e9);
    refilledAtNanos = nowNanos;
    return tokens;
  }

  /** Takes tokens out; the caller has checked that they are there. */
  void take(double amount) {
    tokens -= amount;
  }

  /** Empties the bucket, as if refilled at {@code nowNanos}. */
  void reset(long nowNanos) {
    tokens = 0;
    refilledAtNanos = nowNanos;
  }
}
