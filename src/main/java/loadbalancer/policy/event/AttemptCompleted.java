package loadbalancer.policy.event;

import java.util.Map;

/**
 * An attempt ended; every forwarded attempt ends exactly once.
 *
 * @param requestId the request
 * @param attempt the attempt's index, counted from 0 in forwarding order
 * @param endpointId the endpoint that the attempt was forwarded to
 * @param status how the attempt ended
 * @param latencyNanos the time since the attempt was forwarded
 * @param requestCompleted whether the request has its final answer; the first {@link
 *     AttemptStatus#SERVED} finishes it by itself
 * @param loadReport the endpoint's load report, empty where none came
 * @param foundStaleConnection whether a pooled connection was reset by the request before any byte
 *     came back, which says something of the connection and nothing of the endpoint
 */
public record AttemptCompleted(
    String requestId,
    int attempt,
    long endpointId,
    AttemptStatus status,
    long latencyNanos,
    boolean requestCompleted,
    Map<String, Double> loadReport,
    boolean foundStaleConnection)
    implements Event {

  /** An attempt whose connection was not found stale. */
  @SuppressWarnings("checkstyle:ParameterNumber") // The components of the record.
  public AttemptCompleted(
      String requestId,
      int attempt,
      long endpointId,
      AttemptStatus status,
      long latencyNanos,
      boolean requestCompleted,
      Map<String, Double> loadReport) {
    this(requestId, attempt, endpointId, status, latencyNanos, requestCompleted, loadReport, false);
  }
}
