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
    FieldCheck.present("kind", kind);
    FieldCheck.atLeast("at-seconds", 0, atSeconds);
    FieldCheck.atLeast("duration-seconds", 0, durationSeconds);
    FieldCheck.atLeast("effect-seconds", 0, effectSeconds);
    FieldCheck.atLeast("target", 0, target);
    FieldCheck.atLeast("entries", 0, entries);
  }
}
