package loadbalancer.scale.config;

import java.util.List;

/**
 * The settings of the experiment "change".
 *
 * @param balancers the number of balancers, each with an agent
 * @param sampledBalancers how many of them apply the messages to a real policy and endpoint table
 * @param sampledListEntries the number of entries in the lists of the sampled balancers
 * @param listEntries the number of entries in the list
 * @param regions the number of regions
 * @param zonesPerRegion the number of zones in a region
 * @param durationSeconds the simulated time of the run with the events
 * @param drainSeconds the simulated time after the last change
 * @param changesPerDay the number of changed entries a day, apart from restarts
 * @param restartsPerDay the number of restarted upstreams a day; a restart changes an entry twice
 * @param peakFactor the rate of changes in the run, as a multiple of the daily average
 * @param network the network
 * @param controlPlane the control machines
 * @param agent the agents and their balancers
 * @param series the sizes of the series
 * @param events what happens in the run
 */
public record ChangeSettings(
    int balancers,
    int sampledBalancers,
    int sampledListEntries,
    int listEntries,
    int regions,
    int zonesPerRegion,
    double durationSeconds,
    double drainSeconds,
    double changesPerDay,
    double restartsPerDay,
    double peakFactor,
    NetworkSettings network,
    ControlPlaneSettings controlPlane,
    AgentSettings agent,
    SeriesSettings series,
    List<ScheduledEvent> events) {

  private static final int CHANGES_PER_RESTART = 2;
  private static final double SECONDS_PER_DAY = 86_400;

  /** Checks the ranges of the settings. */
  public ChangeSettings {
    FieldCheck.aboveZero("balancers", balancers);
    FieldCheck.inRange("sampled-balancers", 0, balancers, sampledBalancers);
    FieldCheck.aboveZero("list-entries", listEntries);
    FieldCheck.inRange("sampled-list-entries", 0, listEntries, sampledListEntries);
    FieldCheck.aboveZero("regions", regions);
    FieldCheck.aboveZero("zones-per-region", zonesPerRegion);
    FieldCheck.aboveZero("duration-seconds", durationSeconds);
    FieldCheck.aboveZero("drain-seconds", drainSeconds);
    FieldCheck.atLeast("changes-per-day", 0, changesPerDay);
    FieldCheck.atLeast("restarts-per-day", 0, restartsPerDay);
    FieldCheck.aboveZero("peak-factor", peakFactor);
    FieldCheck.present("network", network);
    FieldCheck.present("control-plane", controlPlane);
    FieldCheck.present("agent", agent);
    FieldCheck.present("series", series);
    events = events == null ? List.of() : List.copyOf(events);
    for (ScheduledEvent event : events) {
      checkTarget(event, controlPlane.machines(), regions, zonesPerRegion);
      FieldCheck.inRange("events.entries", 0, listEntries, event.entries());
    }
  }

  private static void checkTarget(ScheduledEvent event, int machines, int regions, int zones) {
    int targets =
        switch (event.kind()) {
          case MACHINE_FAILURE -> machines;
          case REGION_CUT -> regions;
          case ZONE_RESTART -> regions * zones;
          default -> 1;
        };
    FieldCheck.inRange("events.target", 0, targets - 1, event.target());
  }

  /** The rate of changed entries in the run. */
  public double changesPerSecond() {
    double perDay = changesPerDay + CHANGES_PER_RESTART * restartsPerDay;
    return perDay * peakFactor / SECONDS_PER_DAY;
  }

  /** The fraction of the changed entries that belong to restarts. */
  public double restartFraction() {
    double restartChanges = CHANGES_PER_RESTART * restartsPerDay;
    double total = changesPerDay + restartChanges;
    return total == 0 ? 0 : restartChanges / total;
  }
}
