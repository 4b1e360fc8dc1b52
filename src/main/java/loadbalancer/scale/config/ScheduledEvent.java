package loadbalancer.scale.config;

/**
 * One event of the experiment "change". Changes that enter while it lasts are reported under its
 * kind, also those that enter while its effects last.
 *
 * @param kind what happens
 * @param atSeconds when it starts
 * @param durationSeconds how long it lasts; for a burst, the time over which the entries change
 * @param effectSeconds how long after its end changes are reported under its kind
 * @param target the index of the control machine, region or zone
 * @param entries the number of entries of a burst
 */
public record ScheduledEvent(
    EventKind kind,
    double atSeconds,
    double durationSeconds,
    double effectSeconds,
    int target,
    int entries) {

  /** Checks the ranges of the settings. */
  public ScheduledEvent {
    FanOutChecks.present("kind", kind);
    FanOutChecks.notNegative("at-seconds", atSeconds);
    FanOutChecks.notNegative("duration-seconds", durationSeconds);
    FanOutChecks.notNegative("effect-seconds", effectSeconds);
    FanOutChecks.notNegative("target", target);
    FanOutChecks.notNegative("entries", entries);
  }
}
