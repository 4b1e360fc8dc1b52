package loadbalancer.scale.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SplittableRandom;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.scale.config.UpstreamSettings;

/**
 * An upstream without any work of its own: it answers each request after a random service time, in
 * order of arrival, on a fixed number of servers with a bounded queue. While it warms up after a
 * restart, its service times are longer by the inverse of its present fraction of its capacity.
 */
public final class HollowUpstream {

  private static final long FAILURE_LATENCY_NANOS = Durations.millisToNanos(1);

  private final UpstreamSettings settings;
  private final long endpointId;
  private final String zone;
  private final WarmUp warmUp;
  private final SplittableRandom random;

  /** When each server has completed all requests that it has accepted. */
  private final PriorityQueue<Long> idleAtNanos = new PriorityQueue<>();

  /** When the waiting requests will be started, in increasing order. */
  private final Queue<Long> waitingUntilNanos = new ArrayDeque<>();

  private final List<Long> arrivalsSinceRestart = new ArrayList<>();
  private long startedNanos;
  private boolean isRunning = true;

  /** Creates a warm upstream; {@code seed} determines its service times and failures. */
  public HollowUpstream(UpstreamSettings settings, long endpointId, String zone, long seed) {
    this.settings = settings;
    this.endpointId = endpointId;
    this.zone = zone;
    warmUp = WarmUp.of(settings);
    random = new SplittableRandom(seed);
    resetServers(0);
  }

  private void resetServers(long nowNanos) {
    idleAtNanos.clear();
    for (int i = 0; i < settings.concurrency(); i++) {
      idleAtNanos.add(nowNanos);
    }
    waitingUntilNanos.clear();
  }

  /** The upstream's entry in the endpoint list, with the given status. */
  public EndpointDescriptor descriptor(EndpointStatus status) {
    return new EndpointDescriptor(endpointId, zone, (int) endpointId, status, startedNanos, 1);
  }

  /** Ends the upstream, which refuses connections from now on. */
  public void stop() {
    isRunning = false;
  }

  /** Starts the upstream again with its initial capacity. */
  public void start(long nowNanos) {
    isRunning = true;
    startedNanos = nowNanos;
    arrivalsSinceRestart.clear();
    resetServers(nowNanos);
  }

  /** Accepts, rejects or fails an attempt that arrives now, and returns the answer in advance. */
  public UpstreamResponse attemptArrives(long nowNanos) {
    if (!isRunning) {
      return failure(nowNanos, AttemptStatus.CONNECT_FAILED);
    }
    arrivalsSinceRestart.add(nowNanos);
    while (!waitingUntilNanos.isEmpty() && waitingUntilNanos.peek() <= nowNanos) {
      waitingUntilNanos.remove();
    }
    boolean mustWait = idleAtNanos.peek() > nowNanos;
    if (mustWait && waitingUntilNanos.size() >= settings.queueLimit()) {
      return failure(nowNanos, AttemptStatus.REJECTED);
    }
    if (random.nextDouble() < settings.failureFraction()) {
      return failure(nowNanos, AttemptStatus.ERROR);
    }
    long beginNanos = Math.max(nowNanos, idleAtNanos.remove());
    if (mustWait) {
      waitingUntilNanos.add(beginNanos);
    }
    long endNanos = beginNanos + serviceNanos(beginNanos);
    idleAtNanos.add(endNanos);
    return new UpstreamResponse(endNanos, AttemptStatus.SERVED);
  }

  private static UpstreamResponse failure(long nowNanos, AttemptStatus status) {
    return new UpstreamResponse(nowNanos + FAILURE_LATENCY_NANOS, status);
  }

  /** A log-normal service time whose mean is that of the settings once the upstream is warm. */
  private long serviceNanos(long beginNanos) {
    double sigma = settings.serviceTimeSigma();
    double factor = Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    return (long)
        (Durations.millisToNanos(settings.meanServiceMs()) * factor / capacityFraction(beginNanos));
  }

  /** The present fraction of the full capacity. */
  public double capacityFraction(long nowNanos) {
    return startedNanos == 0 ? 1 : warmUp.capacityFraction(nowNanos - startedNanos);
  }

  /** When the upstream was last started; 0 if it was not restarted. */
  public long startedNanos() {
    return startedNanos;
  }

  /** The times of all attempts since the last start, in order. */
  public List<Long> arrivalsSinceRestart() {
    return List.copyOf(arrivalsSinceRestart);
  }
}
