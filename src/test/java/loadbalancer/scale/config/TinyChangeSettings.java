package loadbalancer.scale.config;

import java.util.List;

/** Settings of the experiment "change" for tests: a small fleet with much loss. */
public final class TinyChangeSettings {

  /** A history that holds all changes of a test. */
  public static final int LONG_HISTORY = 100_000;

  private static final double DURATION_SECONDS = 100;

  private TinyChangeSettings() {}

  /** A fleet of 84 balancers before 210 upstreams, with the given history and events. */
  public static ChangeSettings of(
      Replication replication, int historyChanges, List<ScheduledEvent> events) {
    return new ChangeSettings(
        84,
        3,
        50,
        210,
        7,
        3,
        DURATION_SECONDS,
        30,
        100_000,
        50_000,
        1,
        network(),
        new ControlPlaneSettings(
            14, replication, 5, 1_000, 100, historyChanges, false, 20, 1, 20, 10),
        new AgentSettings(1_500, 500, 200, 2_000, 1_000, 0.1, 1_000, 5, 2, 58),
        new SeriesSettings(List.of(14, 28), List.of(1.0, 4.0), 14, List.of(10), 20, 20),
        events);
  }

  /** An event of 20 s that counts for 10 s more. */
  public static ScheduledEvent event(EventKind kind, double atSeconds, int target) {
    return new ScheduledEvent(kind, atSeconds, 20, 10, target, 100);
  }

  private static NetworkSettings network() {
    return new NetworkSettings(0.25, 0.8, 60, 0.3, 0.05, 200, 1_448, 52);
  }
}
