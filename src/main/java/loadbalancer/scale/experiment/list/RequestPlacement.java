package loadbalancer.scale.experiment.list;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.event.TimerFired;
import org.HdrHistogram.Histogram;

/**
 * Sends requests to a policy and measures the time that it takes to place each. Every attempt is
 * served after the same latency, on a simulated clock.
 */
final class RequestPlacement {

  /** About 200 requests a second. */
  private static final long ARRIVAL_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private static final long LATENCY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final int HISTOGRAM_DIGITS = 3;
  private static final int DISTINCT_KEYS = 1_000_000;

  private final LoadBalancingPolicy policy;
  private final SplittableRandom random;
  private final Histogram placementNanos = new Histogram(HISTOGRAM_DIGITS);
  private final Histogram timerNanos = new Histogram(HISTOGRAM_DIGITS);
  private final Queue<InFlightAttempt> inFlight = new ArrayDeque<>();
  private final Queue<SetTimer> timers =
      new PriorityQueue<>((one, other) -> Long.compare(one.fireAtNanos(), other.fireAtNanos()));
  private final Set<Long> chosenEndpoints = new HashSet<>();
  private long nowNanos;
  private int forwardedAttempts;

  private record InFlightAttempt(ForwardAttempt attempt, long completedNanos) {}

  /**
   * Creates a placement.
   *
   * @param policy a policy that has the endpoint list
   * @param startNanos the time on the policy's clock
   * @param seed determines the keys of the requests
   */
  RequestPlacement(LoadBalancingPolicy policy, long startNanos, long seed) {
    this.policy = policy;
    nowNanos = startNanos;
    random = new SplittableRandom(seed);
  }

  /** Sends requests one after the other, without measuring those of the warm-up. */
  void run(int warmUpRequests, int requests) {
    for (int i = 0; i < warmUpRequests + requests; i++) {
      if (i == warmUpRequests) {
        placementNanos.reset();
        timerNanos.reset();
      }
      advanceTo(nowNanos + ARRIVAL_PERIOD_NANOS);
      place("r" + i);
    }
  }

  /** The times that the policy took to place a request. */
  Histogram placementNanos() {
    return placementNanos;
  }

  /** The times that the policy took to handle a timer. */
  Histogram timerNanos() {
    return timerNanos;
  }

  /** The number of endpoints that attempts were forwarded to. */
  int chosenEndpointCount() {
    return chosenEndpoints.size();
  }

  /** The number of forwarded attempts. */
  int forwardedAttempts() {
    return forwardedAttempts;
  }

  private void place(String requestId) {
    RequestArrived request =
        new RequestArrived(
            requestId,
            BalancerSettings.REQUEST_CLASS,
            /* tenant= */ null,
            "key-" + random.nextInt(DISTINCT_KEYS),
            nowNanos + BalancerSettings.DEADLINE_NANOS,
            /* workHintNanos= */ 0,
            /* isClientRetry= */ false);
    long startNanos = System.nanoTime();
    policy.handle(nowNanos, request, this::carryOut);
    placementNanos.recordValue(System.nanoTime() - startNanos);
  }

  private void carryOut(Action action) {
    if (action instanceof ForwardAttempt attempt) {
      forwardedAttempts++;
      chosenEndpoints.add(attempt.endpointId());
      inFlight.add(new InFlightAttempt(attempt, nowNanos + LATENCY_NANOS));
    } else if (action instanceof SetTimer timer) {
      timers.add(timer);
    }
  }

  /** Completes the attempts and fires the timers that are due until then, in order of time. */
  private void advanceTo(long targetNanos) {
    while (true) {
      long completionNanos =
          inFlight.isEmpty() ? Long.MAX_VALUE : inFlight.element().completedNanos();
      long timerDueNanos = timers.isEmpty() ? Long.MAX_VALUE : timers.element().fireAtNanos();
      long nextNanos = Math.min(completionNanos, timerDueNanos);
      if (nextNanos > targetNanos) {
        break;
      }
      nowNanos = Math.max(nowNanos, nextNanos);
      if (completionNanos <= timerDueNanos) {
        complete(inFlight.remove().attempt());
      } else {
        fire(timers.remove());
      }
    }
    nowNanos = targetNanos;
  }

  private void complete(ForwardAttempt attempt) {
    policy.handle(
        nowNanos,
        new AttemptCompleted(
            attempt.requestId(),
            /* attempt= */ 0,
            attempt.endpointId(),
            AttemptStatus.SERVED,
            LATENCY_NANOS,
            /* requestCompleted= */ true,
            /* loadReport= */ Map.of()),
        this::carryOut);
  }

  private void fire(SetTimer timer) {
    long startNanos = System.nanoTime();
    policy.handle(nowNanos, new TimerFired(timer.timerId()), this::carryOut);
    timerNanos.recordValue(System.nanoTime() - startNanos);
  }
}
