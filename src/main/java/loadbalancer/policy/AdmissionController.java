package loadbalancer.policy;

import java.util.Locale;
import java.util.function.Consumer;
import loadbalancer.policy.SlidingWindow.Metric;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.LogMessage;

/**
 * Admits or rejects arriving requests. A request is rejected once its sliding window has admitted
 * as many requests as the {@link LatencyRateLimiter} allows at the present mean latency. {@link
 * RequestLifecycle} calls {@link #admit} once per request, unless the limit of pending requests is
 * reached.
 *
 * <p>Requests over quota have a limiter of their own with lower latency thresholds, so that a
 * tenant that exceeds its quota is throttled before other tenants are affected.
 */
final class AdmissionController {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The limiter's maximum rate, as a multiple of the offered rate. */
  private static final double MAX_RATE_PER_OFFERED = 1.1;

  /** The limiter's minimum rate, as a fraction of its maximum rate. */
  private static final double MIN_RATE_PER_MAX_RATE = 0.02;

  /**
   * The scale of the over-quota limiter's latency thresholds when requests over quota have no
   * weight. They are then rejected before requests within quota slow down.
   */
  private static final double MIN_OVER_QUOTA_LATENCY_SCALE = 0.2;

  /**
   * The time constant of the healthy load average, in statistics windows. A traffic surge builds up
   * faster, so it hardly raises the average.
   */
  private static final double HEALTHY_LOAD_WINDOWS = 2;

  private final TrafficStatistics traffic;
  private final TenantQuotas quotas;
  private final EndpointRegistry registry;
  private final InFlightTime inFlightTime;
  private final LatencyRateLimiter withinQuotaLimiter = LatencyRateLimiter.scaledBy(1);
  private final LatencyRateLimiter overQuotaLimiter;

  /**
   * Moving average of the load in flight per ready endpoint, in average requests; updated only
   * while the fleet is healthy.
   */
  private double healthyLoadPerEndpoint = 1;

  /** When the present period of rejections started; 0 outside such a period. */
  private long rejectingSinceNanos;

  private int consecutiveRejections;

  /**
   * Creates a controller that admits every request until there are latency samples.
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

  /**
   * Decides whether to admit the request and counts it in its windows. Emits a log message when a
   * period of rejections starts or ends.
   *
   * @return whether the request is admitted
   */
  boolean admit(PendingRequest pending, long nowNanos, Consumer<Action> actions) {
    traffic.count(pending.windows, Metric.OFFERED, 1, nowNanos);
    SlidingWindow window = selectWindow(pending.windows, nowNanos);
    // A fleet-wide overload may not show in the window of a single key, so the higher mean counts.
    double meanLatency =
        Math.max(window.mean(nowNanos, TrafficStatistics.MIN_SAMPLES), traffic.fleetMean(nowNanos));
    LatencyRateLimiter limiter = pending.isOverQuota() ? overQuotaLimiter : withinQuotaLimiter;
    double allowed = allowedRequests(limiter, window, meanLatency, nowNanos);
    boolean isRejected =
        totalWithLookback(window, Metric.ADMITTED, nowNanos) >= allowed
            && !isExempt(pending)
            // Only admitted requests yield samples, so rejecting all of them would never end.
            && consecutiveRejections < TrafficStatistics.MIN_SAMPLES;
    if (isRejected) {
      consecutiveRejections++;
      if (rejectingSinceNanos == 0) {
        rejectingSinceNanos = nowNanos;
        actions.accept(rejectingStartedMessage(window, meanLatency, allowed, nowNanos));
      }
      return false;
    }
    consecutiveRejections = 0;
    if (rejectingSinceNanos != 0 && meanLatency <= limiter.healthyLatency()) {
      actions.accept(rejectingEndedMessage(nowNanos));
      rejectingSinceNanos = 0;
    }
    traffic.count(pending.windows, Metric.ADMITTED, 1, nowNanos);
    return true;
  }

  /**
   * Returns the window whose latency decides: the one of the key if it has enough samples,
   * otherwise the one of the class and tenant. If that has too few and traffic is sparse, the
   * window of all requests within quota or of all over quota is used.
   */
  private SlidingWindow selectWindow(TrafficWindows windows, long nowNanos) {
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
    double maxRate = totalWithLookback(window, Metric.OFFERED, nowNanos) * MAX_RATE_PER_OFFERED;
    return limiter.allowedRate(meanLatency, maxRate, maxRate * MIN_RATE_PER_MAX_RATE);
  }

  private static double totalWithLookback(SlidingWindow window, Metric metric, long nowNanos) {
    return window.totalWithLookback(nowNanos, metric, TrafficStatistics.MIN_SAMPLES);
  }

  /**
   * Returns whether the request must not be rejected for high latency: it is within its tenant's
   * quota, and this balancer has less load in flight than on average while the fleet was healthy,
   * so its own load is not what causes the latency.
   */
  private boolean isExempt(PendingRequest pending) {
    return !pending.isOverQuota()
        && quotas.isLimited(pending.request.tenant())
        && registry.readyLoad() < healthyLoadPerEndpoint * registry.readyCount();
  }

  /**
   * Moves the healthy load average towards the present load, if the fleet is healthy.
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

  private static LogMessage rejectingStartedMessage(
      SlidingWindow window, double meanLatency, double allowed, long nowNanos) {
    return new LogMessage(
        String.format(
            Locale.ROOT,
            "admission: rejecting started mean_latency_in_objectives=%.2f samples=%.0f"
                + " admitted=%.0f allowed=%.1f offered=%.0f",
            meanLatency,
            totalWithLookback(window, Metric.SAMPLES, nowNanos),
            totalWithLookback(window, Metric.ADMITTED, nowNanos),
            allowed,
            totalWithLookback(window, Metric.OFFERED, nowNanos)));
  }

  private LogMessage rejectingEndedMessage(long nowNanos) {
    return new LogMessage(
        "admission: rejecting ended duration_ms="
            + (nowNanos - rejectingSinceNanos) / NANOS_PER_MILLI);
  }
}
