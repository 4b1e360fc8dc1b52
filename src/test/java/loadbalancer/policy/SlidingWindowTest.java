package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import loadbalancer.policy.SlidingWindow.Metric;
import org.junit.jupiter.api.Test;

/** Totals, means, expiry and lookback of a sliding window. */
class SlidingWindowTest {

  @Test
  void totalsAndMeanExcludeValuesOlderThanTheWindow() {
    SlidingWindow window = new SlidingWindow(1200, 0);
    assertEquals(0, window.mean(0, 1), "an empty window is healthy");
    window.add(0, Metric.ADMITTED, 1);
    window.add(150, Metric.SAMPLES, 1);
    window.add(150, Metric.LATENCY, 6);
    window.add(650, Metric.SAMPLES, 1);
    window.add(650, Metric.LATENCY, 2);
    assertEquals(1, window.total(1199, Metric.ADMITTED));
    assertEquals(0, window.total(1200, Metric.ADMITTED));
    assertEquals(4, window.mean(1250, 1), 1e-9);
    assertEquals(2, window.mean(1300, 1), 1e-9);
    assertEquals(0, window.mean(90_000, 1), 1e-9);
  }

  /** A stale mean left over from an overload would cause rejections until new samples arrive. */
  @Test
  void totalsOfWindowWithLookbackExpireAfterPauseOfAnyLength() {
    for (long pause = 1200; pause <= 20_000; pause += 100) {
      SlidingWindow window = new SlidingWindow(1200, 5, 0);
      for (long now = 10_000; now < 11_200; now += 100) {
        window.add(now, Metric.SAMPLES, 1);
        window.add(now, Metric.LATENCY, 3);
      }
      assertEquals(
          0,
          window.total(11_100 + pause, Metric.SAMPLES),
          1e-9,
          "samples after a pause of " + pause);
      assertEquals(
          0,
          window.total(11_100 + pause, Metric.LATENCY),
          1e-9,
          "latency after a pause of " + pause);
    }
  }

  @Test
  void meanLooksBackOnlyIfLastWindowHoldsTooFewSamples() {
    SlidingWindow window = new SlidingWindow(1200, 5, 0);
    window.add(1_000, Metric.SAMPLES, 1);
    window.add(1_000, Metric.LATENCY, 8);
    window.add(3_000, Metric.SAMPLES, 1);
    window.add(3_000, Metric.LATENCY, 2);
    assertEquals(2, window.mean(3_000, 1), 1e-9, "one sample is enough");
    assertEquals(5, window.mean(3_000, 2), 1e-9, "two samples, one of them older than the window");
  }
}
