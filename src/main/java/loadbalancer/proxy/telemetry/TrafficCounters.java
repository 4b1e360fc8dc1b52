package loadbalancer.proxy.telemetry;

import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.policy.event.AttemptStatus;

/**
 * Counts the requests and attempts of one reporting interval; {@link TrafficReporter} turns them
 * into a log line. Belongs to the event loop: no method may be called on another thread.
 */
public final class TrafficCounters {

  private static final double NANOS_PER_MILLI = 1e6;

  private final Map<InetSocketAddress, EndpointAttempts> attemptsByEndpoint = new HashMap<>();
  private final Map<AttemptStatus, AttemptTotals> attemptsByStatus = tallies(AttemptStatus.class);
  private final Map<EndpointCategory, AttemptTotals> servedByCategory =
      tallies(EndpointCategory.class);
  private int requestsReceived;
  private int rejectedOnArrival;
  private int rejectedLater;
  private int requestsFailed;
  private int clientDisconnects;
  private int staleConnections;
  private long sendDelayNanos;
  private long maxLoopLagNanos;

  /** Counts a request that was admitted to the table of open requests. */
  public void requestReceived() {
    requestsReceived++;
  }

  /** Counts a request rejected while its arrival was handled, before any attempt. */
  public void requestRejectedOnArrival() {
    rejectedOnArrival++;
  }

  /** Counts a request rejected after it was queued or attempted. */
  public void requestRejectedLater() {
    rejectedLater++;
  }

  /** Counts a request whose response said that it failed. */
  public void requestFailed() {
    requestsFailed++;
  }

  /** Counts a request whose client disconnected before its response. */
  public void clientDisconnected() {
    clientDisconnects++;
  }

  /** Counts a completed attempt and adds its times to the interval's sums. */
  public void attemptCompleted(CompletedAttempt attempt) {
    EndpointAttempts endpoint =
        attemptsByEndpoint.computeIfAbsent(attempt.address(), address -> new EndpointAttempts());
    endpoint.total++;
    attemptsByStatus.get(attempt.status()).add(attempt.latencyNanos());
    sendDelayNanos += attempt.sendDelayNanos();
    if (attempt.foundStaleConnection()) {
      staleConnections++;
    }
    if (attempt.status() == AttemptStatus.SERVED) {
      servedByCategory.get(attempt.category()).add(attempt.latencyNanos());
    } else {
      endpoint.notServed++;
    }
  }

  /** Keeps the interval's largest event-loop lag, in nanoseconds. */
  public void loopLagMeasured(long lagNanos) {
    maxLoopLagNanos = Math.max(maxLoopLagNanos, lagNanos);
  }

  /** Starts a new interval: sets every count and sum to zero. */
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
    sendDelayNanos = 0;
    maxLoopLagNanos = 0;
  }

  /** Whether no request was received and no attempt completed in this interval. */
  boolean isEmpty() {
    return requestsReceived + attempts() == 0;
  }

  /** Requests admitted to the table of open requests. */
  int requestsReceived() {
    return requestsReceived;
  }

  /** Requests rejected while their arrival was handled. */
  int rejectedOnArrival() {
    return rejectedOnArrival;
  }

  /** Requests rejected after they were queued or attempted. */
  int rejectedLater() {
    return rejectedLater;
  }

  /** Requests whose response said that they failed. */
  int requestsFailed() {
    return requestsFailed;
  }

  /** Requests whose client disconnected before the response. */
  int clientDisconnects() {
    return clientDisconnects;
  }

  /** Attempts that found a pooled connection closed by the endpoint. */
  int staleConnections() {
    return staleConnections;
  }

  /** Completed attempts of any status. */
  int attempts() {
    return attemptsByStatus.values().stream().mapToInt(tally -> tally.count).sum();
  }

  /** Completed attempts with this status. */
  int attempts(AttemptStatus status) {
    return attemptsByStatus.get(status).count;
  }

  /** Served attempts at endpoints of this category. */
  int served(EndpointCategory category) {
    return servedByCategory.get(category).count;
  }

  /** Mean latency in milliseconds of the served attempts at endpoints of this category. */
  double meanServedMillis(EndpointCategory category) {
    return servedByCategory.get(category).meanMillis();
  }

  /** Mean time in milliseconds from the decision to forward an attempt to its first byte sent. */
  double meanSendDelayMillis() {
    return meanMillis(sendDelayNanos, attempts());
  }

  /** Mean latency in milliseconds of the attempts that timed out. */
  double meanTimeoutMillis() {
    return attemptsByStatus.get(AttemptStatus.TIMEOUT).meanMillis();
  }

  /** The largest event-loop lag of the interval, in milliseconds. */
  double maxLoopLagMillis() {
    return maxLoopLagNanos / NANOS_PER_MILLI;
  }

  /** Completed attempts by the endpoint's address. */
  Map<InetSocketAddress, EndpointAttempts> attemptsByEndpoint() {
    return attemptsByEndpoint;
  }

  private static double meanMillis(long sumNanos, int count) {
    return sumNanos / NANOS_PER_MILLI / Math.max(1, count);
  }

  private static <E extends Enum<E>> Map<E, AttemptTotals> tallies(Class<E> type) {
    Map<E, AttemptTotals> tallies = new EnumMap<>(type);
    for (E constant : type.getEnumConstants()) {
      tallies.put(constant, new AttemptTotals());
    }
    return tallies;
  }

  /** A number of attempts and the sum of their latencies. */
  private static final class AttemptTotals {
    private int count;
    private long sumNanos;

    private void add(long nanos) {
      count++;
      sumNanos += nanos;
    }

    private double meanMillis() {
      return TrafficCounters.meanMillis(sumNanos, count);
    }

    private void reset() {
      count = 0;
      sumNanos = 0;
    }
  }

  /** Completed attempts at one endpoint. */
  static final class EndpointAttempts {
    private int total;
    private int notServed;

    /** Attempts of any status. */
    int total() {
      return total;
    }

    /** Attempts with a status other than served. */
    int notServed() {
      return notServed;
    }
  }
}
