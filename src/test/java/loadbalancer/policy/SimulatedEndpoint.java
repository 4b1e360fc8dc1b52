package loadbalancer.policy;

import static loadbalancer.policy.Durations.millis;
import static loadbalancer.policy.Durations.seconds;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.settings.ServiceRules;

/**
 * An endpoint with two cores that serves requests in order of arrival, more slowly while it warms
 * up after a restart. It records the work forwarded to it since its restart. The unit of work is
 * the mean work of a request.
 */
final class SimulatedEndpoint {

  private static final int CORES = 2;

  /** How long a core of a warm endpoint takes for a request of mean work. */
  static final long MEAN_WORK_NANOS = millis(50);

  /** The rate at which a warm endpoint can serve requests of mean work. */
  static final double CAPACITY_PER_SECOND = CORES * (double) seconds(1) / MEAN_WORK_NANOS;

  /** The rate at which a warm endpoint gets requests under normal traffic. */
  static final double NORMAL_LOAD_PER_SECOND = 0.6 * CAPACITY_PER_SECOND;

  private static final long FAILURE_LATENCY_NANOS = millis(2);

  /** When an attempt completes, and with which status. */
  record Completion(long atNanos, AttemptStatus status) {}

  private record ForwardedWork(long atNanos, double work) {}

  private final ServiceRules serviceRules;
  private final long[] coreIdleAtNanos = new long[CORES];
  private final List<ForwardedWork> forwardedSinceRestart = new ArrayList<>();
  private EndpointDescriptor descriptor;
  private AttemptStatus status = AttemptStatus.SERVED;

  /** Creates a warm endpoint. */
  SimulatedEndpoint(long endpointId, String zone, ServiceRules serviceRules) {
    this.serviceRules = serviceRules;
    descriptor = descriptor(endpointId, zone, 0);
  }

  private static EndpointDescriptor descriptor(long endpointId, String zone, long startedNanos) {
    return new EndpointDescriptor(
        endpointId, zone, (int) endpointId, EndpointStatus.READY, startedNanos, 1);
  }

  EndpointDescriptor descriptor() {
    return descriptor;
  }

  void restart(long nowNanos) {
    descriptor = descriptor(descriptor.endpointId(), descriptor.zone(), nowNanos);
    forwardedSinceRestart.clear();
  }

  /**
   * Completes every later attempt with the status; {@code TIMEOUT} means no response by the
   * deadline.
   */
  void completeEveryAttemptWith(AttemptStatus newStatus) {
    status = newStatus;
  }

  /** Accepts an attempt and returns its completion. */
  Completion serve(long nowNanos, double work, long deadlineNanos) {
    if (hasRestarted()) {
      forwardedSinceRestart.add(new ForwardedWork(nowNanos, work));
    }
    if (status == AttemptStatus.TIMEOUT) {
      return new Completion(deadlineNanos, status);
    }
    if (status != AttemptStatus.SERVED) {
      return new Completion(nowNanos + FAILURE_LATENCY_NANOS, status);
    }
    int core = coreIdleAtNanos[0] <= coreIdleAtNanos[1] ? 0 : 1;
    long serviceNanos = (long) (work * MEAN_WORK_NANOS / capacityFraction(nowNanos));
    coreIdleAtNanos[core] = Math.max(nowNanos, coreIdleAtNanos[core]) + serviceNanos;
    return coreIdleAtNanos[core] > deadlineNanos
        ? new Completion(deadlineNanos, AttemptStatus.TIMEOUT)
        : new Completion(coreIdleAtNanos[core], AttemptStatus.SERVED);
  }

  private boolean hasRestarted() {
    return descriptor.startedNanos() != 0;
  }

  /** The current fraction of the full capacity; grows linearly while the endpoint warms up. */
  private double capacityFraction(long nowNanos) {
    double progress = (nowNanos - descriptor.startedNanos()) / (double) serviceRules.warmUpNanos();
    return !hasRestarted() || progress >= 1
        ? 1
        : serviceRules.initialCapacityFraction() * (1 - progress) + progress;
  }

  /**
   * The most work in one overload window that does not overload an endpoint of this capacity. For
   * random variation, it adds two standard deviations of a Poisson distribution, plus 2.
   */
  static double overloadThreshold(ServiceRules serviceRules, double capacityFraction) {
    double work =
        serviceRules.overloadMultiple()
            * CAPACITY_PER_SECOND
            * capacityFraction
            * serviceRules.overloadWindowNanos()
            / seconds(1);
    return work + 2 * Math.sqrt(work) + 2;
  }

  /** The most work forwarded in one overload window since the restart, divided by its threshold. */
  double maxOverloadRatio() {
    double max = 0;
    double work = 0;
    int end = 0;
    for (ForwardedWork first : forwardedSinceRestart) {
      long windowEndNanos = first.atNanos + serviceRules.overloadWindowNanos();
      while (end < forwardedSinceRestart.size()
          && forwardedSinceRestart.get(end).atNanos < windowEndNanos) {
        work += forwardedSinceRestart.get(end).work;
        end++;
      }
      double threshold = overloadThreshold(serviceRules, capacityFraction(first.atNanos));
      max = Math.max(max, work / threshold);
      work -= first.work;
    }
    return max;
  }

  /** The work forwarded to the endpoint while it was warming up. */
  double warmUpWork() {
    long endNanos = descriptor.startedNanos() + serviceRules.warmUpNanos();
    return forwardedSinceRestart.stream()
        .filter(forwarded -> forwarded.atNanos < endNanos)
        .mapToDouble(ForwardedWork::work)
        .sum();
  }

  /**
   * The work of the normal load over the whole warm-up, at the mean capacity of the warm-up; 0 if
   * the endpoint has not restarted.
   */
  double expectedWarmUpWork() {
    return !hasRestarted()
        ? 0
        : NORMAL_LOAD_PER_SECOND
            * (1 + serviceRules.initialCapacityFraction())
            / 2
            * serviceRules.warmUpNanos()
            / seconds(1);
  }
}
