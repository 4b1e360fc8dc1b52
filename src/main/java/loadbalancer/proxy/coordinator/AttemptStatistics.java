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

/** Measures and counts completed attempts. For the event loop's thread only. */
final class AttemptStatistics {

  private final PolicySettings settings;
  private final EpochClock clock;
  private final EventLoopLag eventLoopLag;
  private final TrafficCounters counters;

  /**
   * Makes statistics.
   *
   * @param settings the balancer's zone and the warm-up time of endpoints
   * @param environment the clock and the event loop's lag
   * @param counters counts the attempts
   */
  AttemptStatistics(
      PolicySettings settings, CoordinatorEnvironment environment, TrafficCounters counters) {
    this.settings = settings;
    this.clock = environment.clock();
    this.eventLoopLag = environment.eventLoopLag();
    this.counters = counters;
  }

  /**
   * The latency of an attempt that completes now, without the time that its response waited unread
   * in the socket.
   */
  long latencyNanos(UpstreamAttempt attempt) {
    return attempt.latencyNanos(clock.nowNanos() - eventLoopLag.meanReadDelayNanos());
  }

  /** Counts a completed attempt and the event loop's present lag. */
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
    long sinceStartNanos = clock.nowNanos() - endpoint.startedNanos();
    if (sinceStartNanos < settings.serviceRules().warmUpNanos()) {
      return EndpointCategory.WARMING_UP;
    }
    return endpoint.zone().equals(settings.zone())
        ? EndpointCategory.LOCAL_ZONE
        : EndpointCategory.REMOTE_ZONE;
  }
}
