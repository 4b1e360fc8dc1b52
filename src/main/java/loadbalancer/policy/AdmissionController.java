package loadbalancer.policy;

import java.util.Locale;
import java.util.function.Consumer;
import loadbalancer.policy.SlidingWindow.Metric;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.LogMessage;

/**
 * Decides which arriving requests are admitted, by the {@link LatencyRateLimiter}: a request is
 * rejected once its window admitted as many as the mean latency allows. Called by {@link
 * RequestLifecycle} once for each request, unless too many requests are pending already.
 *
 * <p>Work over a quota has its own limiter, with earlier latencies: a tenant that sends too much is
 * throttled before others notice it.
 */
final class AdmissionController {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The maximum rate is what was offered, and a tenth more. */
  private static final double MAX_RATE_PER_OFFERED = 1.1;

  private static final double MIN_RATE_PER_MAX_RATE = 0.02;

  /**
   * Where over-quota work is worth nothing, its limiter's latencies are scaled by this: it is
   * rejected before work inside quotas slows down.
   */
  private static final double MIN_OVER_QUOTA_LATENCY_SCALE = 0.2;

  /** The windows over which the load of a healthy fleet is averaged; a crowd forms faster. */
  private static final double HEALTHY_LOAD_WINDOWS = 2;

  private final TrafficStatistics traffic;
  private final TenantQuotas quotas;
  private final EndpointRegistry registry;
  private final InFlightTime inFlightTime;
  private final LatencyRateLimiter withinQuotaLimiter = LatencyRateLimiter.scaledBy(1);
  private final LatencyRateLimiter overQuotaLimiter;

  /** Moving average of the load for each ready endpoint while the fleet is healthy. */
  private double healthyLoadPerEndpoint = 1;

  /** When rejecting started; 0 while nothing is rejected. */
  private long rejectingSinceNanos;

  private int rejectedInRow;

  /**
   * A controller that admits everything until there are samples.
   *
   * @param overQuotaWeight the fraction of its priority weight that a request over quota keeps
   */
  AdmissionController(
      TrafficStatistics traffic,
      TenantQuotas quotas,
      EndpointRegistry registry,
      InFlightTime inFlightTime,
      double overQuotaWeight) {
    this.traffic = traffic;
    this.quotas = quotas;
    this.registry = registry;
    this.inFlightTime = inFlightTime;
    overQuotaLimiter =
        LatencyRateLimiter.scaledBy(
            MIN_OVER_QUOTA_LATENCY_SCALE + (1 - MIN_OVER_QUOTA_LATENCY_SCALE) * overQuotaWeight);
  }

  /** Whether the request is admitted; counts it, and logs when rejecting starts and ends. */
  boolean admit(PendingRequest pending, long nowNanos, Consumer<Action> actions) {
    traffic.count(pending.windows, Metric.OFFERED, 1, nowNanos);
    SlidingWindow window = decidingWindow(pending.windows, nowNanos);
    // An overload of the whole fleet shows in no single key, so the worse of both means counts.
    double meanLatency =
        Math.max(window.mean(nowNanos, TrafficStatistics.MIN_SAMPLES), traffic.fleetMean(nowNanos));
    LatencyRateLimiter limiter = pending.isOverQuota() ? overQuotaLimiter : withinQuotaLimiter;
    double allowed = allowedRequests(limiter, window, meanLatency, nowNanos);
    boolean isRejected =
        requests(window, Metric.ADMITTED, nowNanos) >= allowed
            && !isProtected(pending)
            // Samples come from admitted requests only: without any, rejecting would never end.
            && rejectedInRow < TrafficStatistics.MIN_SAMPLES;
    if (isRejected) {
      rejectedInRow++;
      if (rejectingSinceNanos == 0) {
        rejectingSinceNanos = nowNanos;
        actions.accept(rejectingStarted(window, meanLatency, allowed, nowNanos));
      }
      return false;
    }
    rejectedInRow = 0;
    if (rejectingSinceNanos != 0 && meanLatency <= limiter.healthyLatency()) {
      actions.accept(rejectingEnded(nowNanos));
      rejectingSinceNanos = 0;
    }
    traffic.count(pending.windows, Metric.ADMITTED, 1, nowNanos);
    return true;
  }

  /** The narrowest of the request's windows that has enough samples. */
  private SlidingWindow decidingWindow(TrafficWindows windows, long nowNanos) {
    if (hasEnoughSamples(windows.key(), nowNanos)) {
      return windows.key();
    }
    if (!inFlightTime.isTrafficSparse(registry.readyCount(), nowNanos)
        || hasEnoughSamples(windows.classAndTenant(), nowNanos)) {
      return windows.classAndTenant();
    }
    return windows.quotaGroup();
  }

  private static boolean hasEnoughSamples(SlidingWindow window, long nowNanos) {
    return window.total(nowNanos, Metric.SAMPLES) >= TrafficStatistics.MIN_SAMPLES;
  }

  private static double allowedRequests(
      LatencyRateLimiter limiter, SlidingWindow window, double meanLatency, long nowNanos) {
    double maxRate = requests(window, Metric.OFFERED, nowNanos) * MAX_RATE_PER_OFFERED;
    return limiter.allowedRate(meanLatency, maxRate, maxRate * MIN_RATE_PER_MAX_RATE);
  }

  private static double requests(SlidingWindow window, Metric metric, long nowNanos) {
    return window.totalWithLookback(nowNanos, metric, TrafficStatistics.MIN_SAMPLES);
  }

  /**
   * Work inside a quota is not rejected for a latency that this balancer did not cause: as long as
   * it has less load in flight than while the fleet was healthy.
   */
  private boolean isProtected(PendingRequest pending) {
    return !pending.isOverQuota()
        && quotas.isLimited(pending.request.tenant())
        && registry.readyLoad() < healthyLoadPerEndpoint * registry.readyCount();
  }

  /**
   * Lets the moving average of a healthy fleet's load follow the present load.
   *
   * @param elapsedNanos the time since the last call
   */
  void updateHealthyLoad(double elapsedNanos, long nowNanos) {
    if (traffic.isFleetHealthy(nowNanos)) {
      healthyLoadPerEndpoint +=
          (registry.readyLoad() / Math.max(1, registry.readyCount()) - healthyLoadPerEndpoint)
              * elapsedNanos
              / (HEALTHY_LOAD_WINDOWS * traffic.windowNanos());
    }
  }

  private static LogMessage rejectingStarted(
      SlidingWindow window, double meanLatency, double allowed, long nowNanos) {
    return new LogMessage(
        String.format(
            Locale.ROOT,
            "admission: rejecting started mean_latency_in_objectives=%.2f samples=%.0f"
                + " admitted=%.0f allowed=%.1f offered=%.0f",
            meanLatency,
            requests(window, Metric.SAMPLES, nowNanos),
            requests(window, Metric.ADMITTED, nowNanos),
            allowed,
            requests(window, Metric.OFFERED, nowNanos)));
  }

  private LogMessage rejectingEnded(long nowNanos) {
    return new LogMessage(
        "admission: rejecting ended duration_ms="
            + (nowNanos - rejectingSinceNanos) / NANOS_PER_MILLI);
  }
}
