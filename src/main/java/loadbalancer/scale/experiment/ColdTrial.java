package loadbalancer.scale.experiment;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.scale.config.ColdSettings;
import loadbalancer.scale.model.BalancerObserver;
import loadbalancer.scale.model.Durations;
import loadbalancer.scale.model.HollowUpstream;
import loadbalancer.scale.model.OverloadBudget;
import loadbalancer.scale.model.RequestOutcome;
import loadbalancer.scale.model.ServiceFleet;

/** One restart of a random upstream of a fleet; measures the upstream's warm-up. */
final class ColdTrial implements BalancerObserver {

  /** The time after the warm-up for which the restarted upstream is observed. */
  private static final long OBSERVED_AFTER_WARM_UP_NANOS = 6_000_000_000L;

  /** The time within which the last requests end, beyond their deadline. */
  private static final long DRAIN_SLACK_NANOS = 1_000_000_000L;

  private static final double MICROS_PER_NANO = 1e-3;

  /** The updates of the endpoint list that each balancer gets in a restart. */
  private static final int UPDATES_PER_RESTART = 3;

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private final ColdSettings settings;
  private final int balancerCount;
  private final int restartedIndex;
  private final ServiceFleet fleet;
  private final long settlingNanos;
  private final long warmUpNanos;
  private final ColdPhase before = new ColdPhase();
  private final ColdPhase during = new ColdPhase();

  /** When the restarted upstream starts; after all simulated times while that is unknown. */
  private long startNanos = Long.MAX_VALUE;

  private long restartNanos = Long.MAX_VALUE;
  private long startedAttempts;
  private long completedAttempts;
  private long endedRequests;
  private long attemptsBeforeRestart;
  private long servedDuringWarmUp;
  private long rejectedDuringWarmUp;

  /** Creates a trial; {@code seed} determines everything that is random in it. */
  ColdTrial(ColdSettings settings, int balancerCount, long seed) {
    this.settings = settings;
    this.balancerCount = balancerCount;
    SplittableRandom random = new SplittableRandom(seed);
    restartedIndex = random.nextInt(settings.upstreams().count());
    settlingNanos = Durations.secondsToNanos(settings.settlingSeconds());
    warmUpNanos = Durations.secondsToNanos(settings.upstreams().warmUpSeconds());
    fleet =
        new ServiceFleet(
            settings, balancerCount, random.nextLong(), THREADS::getCurrentThreadCpuTime, this);
  }

  /** Runs the trial; must be called only once, on the thread that is to be measured. */
  ColdTrialResult run() {
    fleet.run(settlingNanos);
    long settledRequests = fleet.arrivedRequests();
    long settledRequestNanos = fleet.requestProcessorNanos();
    long settledUpdateNanos = fleet.updateProcessorNanos();
    restartNanos = fleet.nowNanos();
    startNanos = fleet.restartUpstream(restartedIndex);
    fleet.run(startNanos + warmUpNanos + OBSERVED_AFTER_WARM_UP_NANOS);
    long requests = fleet.arrivedRequests() - settledRequests;
    double requestMicros =
        (fleet.requestProcessorNanos() - settledRequestNanos)
            * MICROS_PER_NANO
            / Math.max(1, requests);
    double updateMicros =
        (fleet.updateProcessorNanos() - settledUpdateNanos)
            * MICROS_PER_NANO
            / (UPDATES_PER_RESTART * balancerCount);
    List<Long> ages = agesAtAttempts();
    endAllRequests();
    return result(ages, requestMicros, updateMicros);
  }

  private List<Long> agesAtAttempts() {
    HollowUpstream restarted = fleet.upstream(restartedIndex);
    return restarted.arrivalsSinceRestart().stream().map(atNanos -> atNanos - startNanos).toList();
  }

  /** Lets the pending requests end, and checks that each request and attempt ended once. */
  private void endAllRequests() {
    fleet.stopArrivals();
    long deadlineNanos = Durations.millisToNanos(settings.balancers().deadlineMs());
    fleet.run(fleet.nowNanos() + deadlineNanos + DRAIN_SLACK_NANOS);
    if (fleet.pendingRequests() != 0
        || endedRequests != fleet.arrivedRequests()
        || startedAttempts != completedAttempts) {
      throw new IllegalStateException(
          String.format(
              "requests: %d arrived, %d ended, %d pending; attempts: %d started, %d completed",
              fleet.arrivedRequests(),
              endedRequests,
              fleet.pendingRequests(),
              startedAttempts,
              completedAttempts));
    }
  }

  private ColdTrialResult result(List<Long> ages, double requestMicros, double updateMicros) {
    OfferedCapacity offered = new OfferedCapacity(settings);
    double observedNanos = warmUpNanos + OBSERVED_AFTER_WARM_UP_NANOS;
    double firstNanos = ages.isEmpty() ? observedNanos : ages.get(0);
    return new ColdTrialResult(
        attemptsPerSecond(ages),
        attemptsBeforeRestart / (settings.settlingSeconds() / 2),
        firstNanos / Durations.NANOS_PER_SECOND,
        servedDuringWarmUp / offered.cappedByFairShare(),
        servedDuringWarmUp / offered.proportional(),
        new OverloadBudget(settings.upstreams()).usage(ages),
        rejectedDuringWarmUp,
        before,
        during,
        endedRequests,
        completedAttempts,
        requestMicros,
        updateMicros);
  }

  private List<Long> attemptsPerSecond(List<Long> ages) {
    int seconds = (int) ((warmUpNanos + OBSERVED_AFTER_WARM_UP_NANOS) / Durations.NANOS_PER_SECOND);
    List<Long> attempts = new ArrayList<>(Collections.nCopies(seconds, 0L));
    for (long ageNanos : ages) {
      int second = (int) (ageNanos / Durations.NANOS_PER_SECOND);
      if (second < seconds) {
        attempts.set(second, attempts.get(second) + 1);
      }
    }
    return attempts;
  }

  private boolean isInWarmUp() {
    long nowNanos = fleet.nowNanos();
    return nowNanos >= startNanos && nowNanos < startNanos + warmUpNanos;
  }

  /** Whether the fleet has settled for half of the settling time and the restart has not begun. */
  private boolean isBeforeRestart() {
    return fleet.nowNanos() >= settlingNanos / 2 && fleet.nowNanos() < restartNanos;
  }

  @Override
  public void requestEnded(RequestOutcome outcome, long latencyNanos) {
    endedRequests++;
    if (isInWarmUp()) {
      during.add(outcome, latencyNanos);
    } else if (isBeforeRestart()) {
      before.add(outcome, latencyNanos);
    }
  }

  @Override
  public void attemptStarted(long endpointId) {
    startedAttempts++;
    if (endpointId == restartedIndex && isBeforeRestart()) {
      attemptsBeforeRestart++;
    }
  }

  @Override
  public void attemptCompleted(long endpointId, AttemptStatus status) {
    completedAttempts++;
    if (endpointId == restartedIndex && isInWarmUp()) {
      servedDuringWarmUp += status == AttemptStatus.SERVED ? 1 : 0;
      rejectedDuringWarmUp += status == AttemptStatus.REJECTED ? 1 : 0;
    }
  }
}
