package loadbalancer.scale.model;

import java.util.List;
import loadbalancer.scale.config.EventKind;
import loadbalancer.scale.config.ScheduledEvent;

/** Carries out the events of a run at their times. */
final class EventRunner {

  private final FanOutContext context;
  private final ControlPlane plane;
  private final List<DiscoveryAgent> agents;
  private final ChangeGenerator generator;
  private final DeliveryRecorder recorder;

  /** Creates a runner without events. */
  EventRunner(
      FanOutContext context,
      ControlPlane plane,
      List<DiscoveryAgent> agents,
      ChangeGenerator generator,
      DeliveryRecorder recorder) {
    this.context = context;
    this.plane = plane;
    this.agents = agents;
    this.generator = generator;
    this.recorder = recorder;
  }

  /** Schedules the start and the end of an event. */
  void schedule(ScheduledEvent event) {
    long startNanos = Durations.secondsToNanos(event.atSeconds());
    long endNanos = startNanos + Durations.secondsToNanos(event.durationSeconds());
    context.simulation().schedule(startNanos, () -> start(event));
    context.simulation().schedule(endNanos, () -> end(event));
  }

  private void start(ScheduledEvent event) {
    switch (event.kind()) {
      case BURST -> generator.startBurst(event.entries(), event.durationSeconds());
      case MACHINE_FAILURE -> plane.fail(plane.machines().get(event.target()));
      case REGION_CUT -> plane.cut(event.target());
      case TIER_RESTART -> plane.stopAll();
      case ZONE_RESTART -> restartZone(event.target());
      default -> {}
    }
  }

  private void end(ScheduledEvent event) {
    switch (event.kind()) {
      case MACHINE_FAILURE -> plane.start(plane.machines().get(event.target()));
      case REGION_CUT -> endCut(event.target());
      case TIER_RESTART -> plane.machines().forEach(plane::start);
      default -> {}
    }
  }

  private void restartZone(int zone) {
    recorder.startCatchUp(
        EventKind.ZONE_RESTART,
        balancer -> agents.get(balancer).location().zone() == zone,
        true,
        context.simulation().nowNanos());
    agents.stream()
        .filter(agent -> agent.location().zone() == zone)
        .forEach(DiscoveryAgent::restartWithoutList);
  }

  private void endCut(int region) {
    plane.reconnect(region);
    recorder.startCatchUp(
        EventKind.REGION_CUT,
        balancer -> agents.get(balancer).location().region() == region,
        false,
        context.simulation().nowNanos());
  }
}
