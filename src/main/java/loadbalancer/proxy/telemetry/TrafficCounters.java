package loadbalancer.proxy.telemetry;

import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.policy.event.AttemptStatus;

/**
 * Counts the requests and attempts of one reporting interval, for the line that {@link
 * TrafficReporter} logs. Must be used on the event loop only.
 */
public final class TrafficCounters {

  private static final double NANOS_PER_MILLI = 1e6;

  private final Map<InetSocketAddress, EndpointAttempts> attemptsByEndpoint = new HashMap<>();
  private final Map<AttemptStatus, AttemptTotals> attemptsByStatus = newTotals(AttemptStatus.class);
  private final Map<EndpointCategory, AttemptTotals> servedByCategory =
      newTotals(EndpointCategory.class);
  private int requestsReceived;
  private int rejectedOnArrival;
  private int rejectedLater;
  private int requestsFailed;
  private int clientDisconnects;
  private int staleConnections;
  private long sendDelaySumNanos;
  private long maxLoopLagNanos;

  /** Counts a request that was added to the table of open requests. */
  public void requestReceived() {
    requestsReceived++;
  }

  /** Counts a request that was rejected while its arrival was handled, before any attempt. */
  public void requestRejectedOnArrival() {
    rejectedOnArrival++;
  }

  /** Counts a request that was rejected after it had been queued or attempted. */
  public void requestRejectedLater() {
    rejectedLater++;
  }

  /** Counts a request to which the proxy responded that it had failed. */
  public void requestFailed() {
    requestsFailed++;
  }

  /** Counts a request whose client disconnected before the response was sent. */
  public void clientDisconnected() {
    clientDisconnects++;
  }

  /** Counts a completed attempt and adds its latency and send delay to the interval's sums. */
  public void attemptCompleted(CompletedAttempt attempt) {
    EndpointAttempts endpoint =
        attemptsByEndpoint.computeIfAbsent(attempt.address(), address -> new EndpointAttempts());
    endpoint.total++;
    attemptsByStatus.get(attempt.status()).add(attempt.latencyNanos());
    sendDelaySumNanos += attempt.sendDelayNanos();
    if (attempt.foundStaleConnection()) {
      staleConnections++;
    }
    if (attempt.status() == AttemptStatus.SERVED) {
      servedByCategory.get(attempt.category()).add(attempt.latencyNanos());
    } else {
      endpoint.notServed++;
    }
  }

  /** Records a measured event-loop lag in nanoseconds; only the interval's maximum is kept. */
  public void loopLagMeasured(long lagNanos) {
    maxLoopLagNanos = Math.max(maxLoopLagNanos, lagNanos);
  }

  /** Starts a new interval: sets all counters, sums and the maximum lag to zero. */
  void reset() {
    attemptsByEndpoint.clear();
    attemptsByStatus.values().forEach(AttemptTotals::reset);
    servedByCategory.values().forEach(AttemptTotals::reset);
    requestsReceived = 0;
    rejectedOnArrival = 0;
    rejectedLater = 0;
    requestsFailed = 0;
    clientDisconnects = 0;
    staleConnections = 0;
    sendDelaySumNanos = 0;
    maxLoopLagNanos = 0;
  }

  /** Returns true if no request was received and no attempt was completed in this interval. */
  boolean isEmpty() {
    return requestsReceived + attempts() == 0;
  }

  /** The number of requests added to the table of open requests. */
  int requestsReceived() {
    return requestsReceived;
  }

  /** The number of requests rejected while their arrival was handled. */
  int rejectedOnArrival() {
    return rejectedOnArrival;
  }

  /** The number of requests rejected after they had been queued or attempted. */
  int rejectedLater() {
    return rejectedLater;
  }

  /** The number of requests to which the proxy responded that they had failed. */
  int requestsFailed() {
    return requestsFailed;
  }

  /** The number of requests whose client disconnected before the response was sent. */
  int clientDisconnects() {
    return clientDisconnects;
  }

  /** The number of attempts that found a pooled connection closed by the endpoint. */
  int staleConnections() {
    return staleConnections;
  }

  /** The number of completed attempts of any status. */
  int attempts() {
    return attemptsByStatus.values().stream().mapToInt(totals -> totals.count).sum();
  }

  /** The number of completed attempts with this status. */
  int attempts(AttemptStatus status) {
    return attemptsByStatus.get(status).count;
  }

  /** The number of attempts served by endpoints of this category. */
  int served(EndpointCategory category) {
    return servedByCategory.get(category).count;
  }

  /** Mean latency in milliseconds of the attempts served by endpoints of this category. */
  double meanServedMillis(EndpointCategory category) {
    return servedByCategory.get(category).meanMillis();
  }

  /** Mean time in milliseconds from the decision to forward an attempt to its first byte sent. */
  double meanSendDelayMillis() {
    return meanMillis(sendDelaySumNanos, attempts());
  }

  /** Mean latency in milliseconds of the attempts that timed out. */
  double meanTimeoutMillis() {
    return attemptsByStatus.get(AttemptStatus.TIMEOUT).meanMillis();
  }

  /** The largest event-loop lag of the interval, in milliseconds. */
  double maxLoopLagMillis() {
    return maxLoopLagNanos / NANOS_PER_MILLI;
  }

  /** The completed attempts of each endpoint, by the endpoint's address; a live view. */
  Map<InetSocketAddress, EndpointAttempts> attemptsByEndpoint() {
    return attemptsByEndpoint;
  }

  private static double meanMillis(long sumNanos, int count) {
    return sumNanos / NANOS_PER_MILLI / Math.max(1, count);
  }

  private static <E extends Enum<E>> Map<E, AttemptTotals> newTotals(Class<E> type) {
    Map<E, AttemptTotals> totals = new EnumMap<>(type);
    for (E constant : type.getEnumConstants()) {
      totals.put(constant, new AttemptTotals());
    }
    return totals;
  }

  /** The number of attempts in a group and the sum of their latencies. */
  private static final class AttemptTotals {
    private int count;
    private long latencySumNanos;

    private void add(long latencyNanos) {
      count++;
      latencySumNanos += latencyNanos;
    }

    private double meanMillis() {
      return TrafficCounters.meanMillis(latencySumNanos, count);
    }

    private void reset() {
      count = 0;
      latencySumNanos = 0;
    }
  }

  /** The numbers of completed attempts at one endpoint. */
  static final class EndpointAttempts {
    private int total;
    private int notServed;

    /** The number of attempts of any status. */
    int total() {
      return total;
    }

    /** The number of attempts with a status other than {@link AttemptStatus#SERVED}. */
    int notServed() {
      return notServed;
    }
  }
}
