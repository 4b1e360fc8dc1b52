package loadbalancer.proxy.telemetry;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.StringJoiner;
import java.util.stream.Collectors;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.proxy.telemetry.TrafficCounters.EndpointAttempts;

/**
 * Logs the traffic counters of each reporting interval as one line, {@code traffic: interval
 * key=value ...}. Must be used on the event loop only, like the counters.
 */
public final class TrafficReporter {

  /** Maximum number of endpoints listed in a line: those with the most attempts not served. */
  private static final int MAX_WORST_ENDPOINTS = 3;

  /** Endpoints with fewer attempts not served are not listed. */
  private static final int MIN_NOT_SERVED = 3;

  private final TrafficCounters counters;

  /** Creates a reporter that logs and resets these counters. */
  public TrafficReporter(TrafficCounters counters) {
    this.counters = counters;
  }

  /**
   * Ends the interval and logs it unless it was empty.
   *
   * @param openRequests the number of requests open now
   */
  public void logInterval(int openRequests) {
    endInterval(openRequests).ifPresent(EventLog::info);
  }

  /**
   * Ends the interval: resets the counters and returns the interval's log line, which is empty if
   * no request was received and no attempt was completed.
   */
  Optional<String> endInterval(int openRequests) {
    Optional<String> line =
        counters.isEmpty() ? Optional.empty() : Optional.of(format(openRequests));
    counters.reset();
    return line;
  }

  private String format(int openRequests) {
    StringJoiner line = new StringJoiner(" ", "traffic: interval ", "");
    add(line, "open", openRequests);
    add(line, "received", counters.requestsReceived());
    add(line, "rejected_on_arrival", counters.rejectedOnArrival());
    add(line, "rejected_later", counters.rejectedLater());
    add(line, "failed", counters.requestsFailed());
    add(line, "client_disconnects", counters.clientDisconnects());
    for (AttemptStatus status : AttemptStatus.values()) {
      add(line, "attempts_" + lowerCase(status), counters.attempts(status));
    }
    add(line, "stale_connections", counters.staleConnections());
    addMillis(line, "send_delay_mean_ms", counters.meanSendDelayMillis());
    for (EndpointCategory category : EndpointCategory.values()) {
      String key = "served_" + lowerCase(category);
      add(line, key, counters.served(category));
      addMillis(line, key + "_mean_ms", counters.meanServedMillis(category));
    }
    addMillis(line, "timeout_mean_ms", counters.meanTimeoutMillis());
    line.add(String.format(Locale.ROOT, "loop_lag_max_ms=%.0f", counters.maxLoopLagMillis()));
    addWorstEndpoints(line);
    return line.toString();
  }

  private static void add(StringJoiner line, String key, int count) {
    line.add(key + "=" + count);
  }

  private static void addMillis(StringJoiner line, String key, double millis) {
    line.add(String.format(Locale.ROOT, "%s=%.1f", key, millis));
  }

  private static String lowerCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  /**
   * Appends {@code worst_endpoints=notServed/attempts@address,...}, or nothing if no endpoint has
   * enough attempts not served.
   */
  private void addWorstEndpoints(StringJoiner line) {
    String worst =
        counters.attemptsByEndpoint().entrySet().stream()
            .filter(endpoint -> endpoint.getValue().notServed() >= MIN_NOT_SERVED)
            .sorted(Comparator.comparingInt(endpoint -> -endpoint.getValue().notServed()))
            .limit(MAX_WORST_ENDPOINTS)
            .map(TrafficReporter::formatEndpoint)
            .collect(Collectors.joining(","));
    if (!worst.isEmpty()) {
      line.add("worst_endpoints=" + worst);
    }
  }

  private static String formatEndpoint(Map.Entry<InetSocketAddress, EndpointAttempts> endpoint) {
    EndpointAttempts attempts = endpoint.getValue();
    return attempts.notServed() + "/" + attempts.total() + "@" + endpoint.getKey();
  }
}
