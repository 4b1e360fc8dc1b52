package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.WeightKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Applies random updates and attempts to a registry and compares its ring with one that is built
 * anew, and its counts with counts over all entries.
 */
class EndpointRegistryUpdateTest {

  private static final int STEPS = 400;
  private static final int IDS = 30;
  private static final String[] ZONES = {"a", "b", "c"};

  private record InFlight(Endpoint endpoint, double load) {}

  private final Map<Long, EndpointDescriptor> listed = new TreeMap<>();
  private final List<InFlight> attempts = new ArrayList<>();
  private SplittableRandom random;
  private EndpointRegistry registry;

  private EndpointDescriptor randomEntry(long id) {
    return new EndpointDescriptor(
        id,
        ZONES[random.nextInt(ZONES.length)],
        0,
        EndpointStatus.values()[random.nextInt(3)],
        random.nextInt(4) == 0 ? random.nextInt(1000) : 0,
        random.nextInt(1, 40) / 4.0);
  }

  private void update() {
    boolean isDelta = random.nextInt(20) > 0;
    if (!isDelta) {
      listed.clear();
    }
    Map<Long, EndpointDescriptor> entries = new TreeMap<>();
    for (int i = random.nextInt(isDelta ? 4 : IDS); i >= 0; i--) {
      long id = random.nextInt(IDS);
      entries.put(id, randomEntry(id));
    }
    listed.putAll(entries);
    registry.apply(
        new EndpointListUpdate(
            isDelta ? EndpointListUpdate.Kind.DELTA : EndpointListUpdate.Kind.FULL,
            List.copyOf(entries.values())),
        millis(1));
    listed.values().removeIf(entry -> entry.status() == EndpointStatus.REMOVED);
  }

  private void startOrCompleteAttempt() {
    if (registry.readyCount() > 0 && random.nextInt(2) == 0) {
      RingWalk walk = registry.newRingWalk();
      walk.start("" + random.nextLong());
      InFlight started = new InFlight(walk.next(), random.nextInt(1, 20) / 8.0);
      registry.attemptStarted(started.endpoint, started.load);
      attempts.add(started);
    } else if (!attempts.isEmpty()) {
      InFlight completed = attempts.remove(random.nextInt(attempts.size()));
      registry.attemptCompleted(completed.endpoint, completed.load);
    }
  }

  private List<EndpointDescriptor> ready() {
    return listed.values().stream()
        .filter(entry -> entry.status() == EndpointStatus.READY)
        .toList();
  }

  private void checkCounts() {
    List<EndpointDescriptor> ready = ready();
    long local = ready.stream().filter(entry -> entry.zone().equals("a")).count();
    long zones = ready.stream().map(EndpointDescriptor::zone).distinct().count();
    assertEquals(ready.size(), registry.readyCount());
    assertEquals(local, registry.localCount());
    assertEquals(
        Math.min(1.0 / Math.max(1, local), (double) zones / Math.max(1, ready.size())),
        registry.localEndpointTrafficFraction());
    assertEquals(
        attempts.stream().filter(a -> a.endpoint.isReady()).mapToDouble(a -> a.load).sum(),
        registry.readyLoad(),
        "load; all are multiples of 1/8, so without rounding");
    Set<Endpoint> inFlight =
        attempts.stream().map(attempt -> attempt.endpoint).collect(Collectors.toSet());
    assertEquals(inFlight, new HashSet<>(registry.inFlightEndpoints()));
    assertEquals(inFlight.size(), registry.inFlightEndpoints().size());
  }

  private void checkKeptEndpoints() {
    Set<Long> kept = new HashSet<>(listed.keySet());
    attempts.forEach(attempt -> kept.add(attempt.endpoint.id));
    assertEquals(kept.size(), registry.endpointCount());
  }

  private void checkRing(WeightKind kind, double medianWeight) {
    Map<Long, Integer> pointCounts = new TreeMap<>();
    for (EndpointDescriptor entry : ready()) {
      double size = Math.min(4, Math.max(0.25, entry.weight() / medianWeight));
      boolean isSized = kind == WeightKind.NOMINAL || kind == WeightKind.ROUGH;
      pointCounts.put(entry.endpointId(), isSized ? (int) Math.round(50 * size) : 50);
    }
    if (!pointCounts.isEmpty()) {
      HashRingUpdateTest.assertSameOwners(registry.newRingWalk(), pointCounts);
    }
  }

  @ParameterizedTest
  @CsvSource({"NONE,1", "NOMINAL,2", "ROUGH,3", "LIVE,4", "NOMINAL,5", "ROUGH,6"})
  void ringAndCountsAreThoseOfTheListAfterEachUpdate(WeightKind kind, long seed) {
    random = new SplittableRandom(seed);
    PolicySettings settings = new TestSettings().crossZoneCost(0.05).weightKind(kind).build();
    registry =
        new EndpointRegistry(
            settings, LatencyObjectives.of(settings.requestClasses()), random.split());
    double medianWeight = 0;
    for (int step = 0; step < STEPS; step++) {
      update();
      if (medianWeight == 0 && !ready().isEmpty()) {
        double[] weights = ready().stream().mapToDouble(e -> e.weight()).sorted().toArray();
        medianWeight = weights[weights.length / 2];
      }
      checkKeptEndpoints();
      checkRing(kind, medianWeight);
      for (int i = random.nextInt(8); i > 0; i--) {
        startOrCompleteAttempt();
        checkCounts();
      }
    }
    assertFalse(attempts.isEmpty(), "the updates came while attempts were in flight");
  }
}
