package loadbalancer.policy;

import java.util.SplittableRandom;
import loadbalancer.policy.settings.PolicySettings;

/**
 * The parts that a policy is put together of, each with its own state; made once for each balancer.
 */
final class PolicyComponents {
  /** Counts traffic in sliding windows. */
  final TrafficStatistics traffic;

  /** Tells requests inside their tenant's quota from those over it. */
  final TenantQuotas quotas;

  /** Estimates a request's load from its hint. */
  final LoadEstimator loadEstimator = new LoadEstimator();

  /** Admits arriving requests. */
  final AdmissionController admission;

  /** Holds the endpoints of the list. */
  final EndpointRegistry registry;

  /** Keeps the time that attempts are in flight. */
  final InFlightTime inFlightTime;

  /** Ejects endpoints that fail or do not respond. */
  final OutlierDetector outlierDetector;

  /** Bounds what endpoints get while they warm up. */
  final SlowStart slowStart;

  /** Keeps requests from having an effect twice. */
  final RetrySafety retrySafety;

  /** Bounds the retries. */
  final RetryBudget retryBudget;

  /** Decides on hedged requests. */
  final HedgingPolicy hedging;

  /** Chooses the endpoint of an attempt. */
  final BoundedLoadPlacement placement;

  /** Feeds the statistics with completed attempts. */
  final AttemptRecorder recorder;

  /**
   * The parts of a policy with these settings.
   *
   * @param random the policy's one source of randomness, shared by the parts
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
