package loadbalancer.proxy.coordinator;

import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.proxy.telemetry.CompletedAttempt;
import loadbalancer.proxy.telemetry.EndpointCategory;
import loadbalancer.proxy.telemetry.EventLoopLag;
import loadbalancer.proxy.telemetry.TrafficCounters;
import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.upstream.UpstreamAttempt;
import loadbalancer.proxy.upstream.UpstreamEndpoint;

/**
 * Measures the latency of completed attempts and adds them to the traffic counters. Confined to the
 * event loop thread.
 */
final class AttemptStatistics {

  private final PolicySettings settings;
  private final EpochClock clock;
  private final EventLoopLag eventLoopLag;
  private final TrafficCounters counters;

  /**
   * Creates statistics that add to the given counters.
   *
   * @param settings give the balancer's zone and the warm-up time of endpoints
   * @param environment provides the clock and the event loop's lag
   * @param counters the counters of the current reporting interval
   */
  AttemptStatistics(
      PolicySettings settings, CoordinatorEnvironment environment, TrafficCounters counters) {
    this.settings = settings;
    this.clock = environment.clock();
    this.eventLoopLag = environment.eventLoopLag();
    this.counters = counters;
  }

  /**
   * The latency in nanoseconds of an attempt that completes now. Excludes the mean time that
   * received bytes wait unread in the socket, which is caused by the event loop's lag and not by
   * the endpoint.
   */
  long latencyNanos(UpstreamAttempt attempt) {
    return attempt.latencyNanos(clock.nowNanos() - eventLoopLag.meanReadDelayNanos());
  }

  /** Counts a completed attempt and records the event loop's current lag. */
  void attemptCompleted(UpstreamAttempt attempt, UpstreamEndpoint endpoint, long latencyNanos) {
    counters.attemptCompleted(
        new CompletedAttempt(
            attempt.address(),
            categoryOf(endpoint.descriptor()),
            attempt.status(),
            attempt.foundStaleConnection(),
            attempt.sendDelayNanos(),
            latencyNanos));
    counters.loopLagMeasured(eventLoopLag.lagNanos());
  }

  private EndpointCategory categoryOf(EndpointDescriptor endpoint) {
    long uptimeNanos = clock.nowNanos() - endpoint.startedNanos();
    if (uptimeNanos < settings.serviceRules().warmUpNanos()) {
      return EndpointCategory.WARMING_UP;
    }
    return endpoint.zone().equals(settings.zone())
        ? EndpointCategory.LOCAL_ZONE
        : EndpointCategory.REMOTE_ZONE;
  }
}
