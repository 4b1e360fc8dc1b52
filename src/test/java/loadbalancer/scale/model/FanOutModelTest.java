package loadbalancer.scale.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.scale.config.ChangeSettings;
import loadbalancer.scale.config.EventKind;
import loadbalancer.scale.config.Replication;
import loadbalancer.scale.config.ScheduledEvent;
import loadbalancer.scale.config.TinyChangeSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class FanOutModelTest {

  private static final long SEED = 7;
  private static final int SHORT_HISTORY = 3;
  private static final int LEADER = 0;
  private static final int REGION_OF_LEADER = 0;

  private static final List<ScheduledEvent> ALL_EVENTS =
      List.of(
          TinyChangeSettings.event(EventKind.BURST, 2, 0),
          TinyChangeSettings.event(EventKind.MACHINE_FAILURE, 5, 8),
          TinyChangeSettings.event(EventKind.MACHINE_FAILURE, 15, LEADER),
          TinyChangeSettings.event(EventKind.REGION_CUT, 30, 3),
          TinyChangeSettings.event(EventKind.TIER_RESTART, 55, 0),
          TinyChangeSettings.event(EventKind.ZONE_RESTART, 85, 4));

  private static FanOutResult run(ChangeSettings settings, long seed) {
    FanOutScenario scenario =
        new FanOutScenario(
            settings,
            settings.balancers(),
            settings.sampledBalancers(),
            settings.changesPerSecond(),
            settings.durationSeconds(),
            settings.events());
    return new FanOutModel(scenario, seed).run(fraction -> {});
  }

  private static long fullLists(FanOutResult result) {
    return result.machines().stream().mapToLong(ControlMachineLoad::fullLists).sum();
  }

  /** An agent throws if a message repeats or skips a change, or goes back. */
  @ParameterizedTest
  @EnumSource(Replication.class)
  void deliversEachChangeToEachBalancerDespiteLossAndFailures(Replication replication) {
    FanOutResult result =
        run(TinyChangeSettings.of(replication, TinyChangeSettings.LONG_HISTORY, ALL_EVENTS), SEED);
    assertTrue(result.changes() > 200, "changes: " + result.changes());
    assertTrue(result.retransmissions() > 0);
    assertEquals(result.expectedDeliveries(), result.deliveries());
    assertEquals(3, result.convergedSamples());
    for (CatchUp catchUp : result.catchUps()) {
      assertTrue(catchUp.balancers() > 0);
      assertEquals(0, catchUp.missing());
    }
  }

  @ParameterizedTest
  @EnumSource(Replication.class)
  void electsAnotherLeaderIfItsRegionIsCutOff(Replication replication) {
    ScheduledEvent cut = TinyChangeSettings.event(EventKind.REGION_CUT, 20, REGION_OF_LEADER);
    FanOutResult result =
        run(
            TinyChangeSettings.of(replication, TinyChangeSettings.LONG_HISTORY, List.of(cut)),
            SEED);
    assertEquals(result.expectedDeliveries(), result.deliveries());
    long outsideNanos = result.delays().get(EventKind.REGION_CUT.text()).getMaxValue();
    assertTrue(outsideNanos < 10 * Durations.NANOS_PER_SECOND, "worst: " + outsideNanos);
  }

  @Test
  void sendsFullListsBeyondTheHistoryOnly() {
    List<ScheduledEvent> cut = List.of(TinyChangeSettings.event(EventKind.REGION_CUT, 20, 3));
    FanOutResult longHistory =
        run(TinyChangeSettings.of(Replication.DIRECT, TinyChangeSettings.LONG_HISTORY, cut), SEED);
    FanOutResult shortHistory =
        run(TinyChangeSettings.of(Replication.DIRECT, SHORT_HISTORY, cut), SEED);
    assertEquals(0, fullLists(longHistory));
    assertTrue(fullLists(shortHistory) > 0);
    assertEquals(shortHistory.expectedDeliveries(), shortHistory.deliveries());
    assertEquals(3, shortHistory.convergedSamples());
  }

  @Test
  void isDeterminedByTheSeed() {
    ChangeSettings settings =
        TinyChangeSettings.of(Replication.REGIONAL_TREE, SHORT_HISTORY, ALL_EVENTS);
    FanOutResult first = run(settings, SEED);
    assertEquals(first.delays(), run(settings, SEED).delays());
    assertEquals(first.machines(), run(settings, SEED).machines());
    assertNotEquals(first.machines(), run(settings, SEED + 1).machines());
  }
}
