package loadbalancer.scale.model;

import java.util.List;
import loadbalancer.scale.config.EventKind;
import loadbalancer.scale.config.ScheduledEvent;

/** Tells under which kind of event a change is reported. */
final class EventWindows {

  /** Changes that entered so long before an event can still be on their way when it starts. */
  private static final double IN_FLIGHT_SECONDS = 5;

  private final List<ScheduledEvent> events;

  /** Creates the windows of a run's events. */
  EventWindows(List<ScheduledEvent> events) {
    this.events = events;
  }

  /** The kind of the first event that covers this time. */
  EventKind kindAt(long nowNanos) {
    double nowSeconds = (double) nowNanos / Durations.NANOS_PER_SECOND;
    return events.stream()
        .filter(event -> covers(event, nowSeconds))
        .map(ScheduledEvent::kind)
        .findFirst()
        .orElse(EventKind.STEADY);
  }

  private static boolean covers(ScheduledEvent event, double seconds) {
    double endSeconds = event.atSeconds() + event.durationSeconds() + event.effectSeconds();
    return seconds >= event.atSeconds() - IN_FLIGHT_SECONDS && seconds <= endSeconds;
  }
}
