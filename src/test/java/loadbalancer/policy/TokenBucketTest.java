package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static loadbalancer.policy.Durations.seconds;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Refilling, taking from and resetting a token bucket. */
class TokenBucketTest {

  private final TokenBucket bucket = new TokenBucket();

  @Test
  void refillAddsTokensForTheTimeSinceTheLastRefill() {
    bucket.reset(seconds(100));
    assertEquals(2.5, bucket.refill(seconds(100) + millis(500), 5, 10), 1e-9);
    assertEquals(5, bucket.refill(seconds(101), 5, 10), 1e-9);
  }

  @Test
  void refillIsLimitedToItsMaximum() {
    bucket.reset(0);
    assertEquals(10, bucket.refill(seconds(60), 5, 10), 1e-9);
    assertEquals(3, bucket.refill(seconds(60), 5, 3), 1e-9);
  }

  @Test
  void takenTokensAreRemoved() {
    bucket.reset(0);
    bucket.refill(seconds(1), 4, 10);
    bucket.take(3);
    assertEquals(1, bucket.refill(seconds(1), 4, 10), 1e-9);
  }

  @Test
  void resetEmptiesTheBucketAndRestartsRefilling() {
    bucket.refill(seconds(1), 4, 10);
    bucket.reset(seconds(5));
    assertEquals(0, bucket.refill(seconds(5), 4, 10), 1e-9);
  }
}
