package loadbalancer.scale.model;

import java.util.Arrays;
import java.util.SplittableRandom;
import loadbalancer.scale.config.EventKind;

/**
 * Makes the changes of a run: changes of weight and restarts of upstreams at random times, and
 * bursts in which the upstreams of a zone leave the list.
 */
final class ChangeGenerator {

  /** The time that an upstream takes to restart. */
  private static final long RESTART_NANOS = 20 * Durations.NANOS_PER_SECOND;

  private static final double MIN_WEIGHT = 0.5;
  private static final int WEIGHT_STEPS = 100;

  private final FanOutContext context;
  private final ControlPlane plane;
  private final EventWindows windows;
  private final SplittableRandom random;
  private final String[] statuses;
  private final double[] weights;
  private long endNanos;

  /** Creates a generator for a list with all entries in service. */
  ChangeGenerator(FanOutContext context, ControlPlane plane, EventWindows windows) {
    this.context = context;
    this.plane = plane;
    this.windows = windows;
    random = context.random().split();
    statuses = new String[context.settings().listEntries()];
    weights = new double[statuses.length];
    Arrays.fill(statuses, EndpointEntry.IN_SERVICE);
    Arrays.fill(weights, 1);
  }

  /** Starts changes at random times, at a mean rate of changed entries. */
  void start(double changesPerSecond, double durationSeconds) {
    endNanos = Durations.secondsToNanos(durationSeconds);
    if (changesPerSecond > 0) {
      // A restart changes its entry twice, but is one event.
      double restartPart = context.settings().restartFraction() / 2;
      double eventsPerSecond = changesPerSecond * (1 - restartPart);
      scheduleNext(eventsPerSecond, restartPart / (1 - restartPart));
    }
  }

  private void scheduleNext(double eventsPerSecond, double restartProbability) {
    double waitSeconds = -Math.log(1 - random.nextDouble()) / eventsPerSecond;
    context
        .simulation()
        .schedule(
            Durations.secondsToNanos(waitSeconds),
            () -> {
              if (context.simulation().nowNanos() < endNanos) {
                changeRandomEntry(random.nextDouble() < restartProbability);
                scheduleNext(eventsPerSecond, restartProbability);
              }
            });
  }

  private void changeRandomEntry(boolean isRestart) {
    int index = random.nextInt(statuses.length);
    if (!statuses[index].equals(EndpointEntry.IN_SERVICE)) {
      return;
    }
    if (isRestart) {
      setStatus(index, EndpointEntry.TERMINATING, currentKind());
      context.simulation().schedule(RESTART_NANOS, () -> endRestart(index));
    } else {
      weights[index] = MIN_WEIGHT + (double) random.nextInt(WEIGHT_STEPS) / WEIGHT_STEPS;
      enter(index, currentKind());
    }
  }

  private void endRestart(int index) {
    if (statuses[index].equals(EndpointEntry.TERMINATING)) {
      setStatus(index, EndpointEntry.IN_SERVICE, currentKind());
    }
  }

  /** Starts a burst: entries of one zone after the other leave the list, evenly over a time. */
  void startBurst(int entries, double durationSeconds) {
    long spacingNanos = Durations.secondsToNanos(durationSeconds / Math.max(1, entries));
    int started = 0;
    for (int zone = 0; zone < EndpointEntry.ZONES && started < entries; zone++) {
      for (int i = zone; i < statuses.length && started < entries; i += EndpointEntry.ZONES) {
        int index = i;
        context
            .simulation()
            .schedule(
                started * spacingNanos,
                () -> setStatus(index, EndpointEntry.TERMINATED, EventKind.BURST));
        started++;
      }
    }
  }

  private EventKind currentKind() {
    return windows.kindAt(context.simulation().nowNanos());
  }

  private void setStatus(int index, String status, EventKind kind) {
    statuses[index] = status;
    enter(index, kind);
  }

  private void enter(int index, EventKind kind) {
    plane.enter(new EndpointEntry(index, statuses[index], weights[index]), kind);
  }
}
