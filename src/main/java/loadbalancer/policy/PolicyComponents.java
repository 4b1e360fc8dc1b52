package loadbalancer.policy;

import java.util.SplittableRandom;
import loadbalancer.policy.settings.PolicySettings;

/** Creates and connects the components of one policy. Each component holds its own state. */
final class PolicyComponents {
  /** Counts traffic in sliding windows. */
  final TrafficStatistics traffic;

  /** Classifies requests as within or over their tenant's quota. */
  final TenantQuotas quotas;

  /** Estimates a request's load from its work hint. */
  final LoadEstimator loadEstimator = new LoadEstimator();

  /** Decides which arriving requests are admitted. */
  final AdmissionController admission;

  /** Holds the endpoints of the endpoint list. */
  final EndpointRegistry registry;

  /** Tracks the time that attempts are in flight. */
  final InFlightTime inFlightTime;

  /** Ejects endpoints that fail and detects unresponsive ones. */
  final OutlierDetector outlierDetector;

  /** Limits the traffic to endpoints that are warming up. */
  final SlowStart slowStart;

  /** Prevents retries that could make a request take effect twice. */
  final RetrySafety retrySafety;

  /** Limits retries to a fraction of the admitted requests. */
  final RetryBudget retryBudget;

  /** Decides when a request is hedged. */
  final HedgingPolicy hedging;

  /** Chooses the endpoint for each attempt. */
  final BoundedLoadPlacement placement;

  /** Records completed attempts in the statistics and in outlier detection. */
  final AttemptRecorder recorder;

  /**
   * Creates the components of a policy with the given settings.
   *
   * @param random the policy's only source of randomness, shared by the components
   */
  PolicyComponents(PolicySettings settings, LatencyObjectives objectives, SplittableRandom random) {
    long windowNanos = objectives.statisticsWindowNanos();
    registry = new EndpointRegistry(settings, objectives, random);
    inFlightTime = new InFlightTime(objectives.shortestNanos() / 2.0);
    traffic = new TrafficStatistics(windowNanos);
    quotas = new TenantQuotas(settings.tenants(), settings.groupSize());
    admission =
        new AdmissionController(
            traffic, quotas, registry, inFlightTime, settings.overQuotaWeight());
    outlierDetector = new OutlierDetector(registry, objectives, random);
    slowStart = new SlowStart(settings.serviceRules(), settings.groupSize(), registry, traffic);
    retrySafety = new RetrySafety(settings.clockResolutionNanos());
    retryBudget = new RetryBudget(traffic);
    hedging = new HedgingPolicy(settings.limits(), outlierDetector, traffic);
    recorder =
        new AttemptRecorder(
            traffic, inFlightTime, outlierDetector, settings.clockResolutionNanos());
    placement =
        new BoundedLoadPlacement(
            random,
            registry,
            new BoundedLoadPlacement.Rules(
                new KeySpread(settings.endpointsCacheKeys(), registry, traffic, inFlightTime),
                new LoadBound(registry, inFlightTime, new ConcurrencyLimit(windowNanos)),
                slowStart,
                outlierDetector,
                retrySafety));
  }
}
