package loadbalancer.policy.event;

import java.util.Map;

/**
 * An attempt completed. Every forwarded attempt completes exactly once.
 *
 * @param requestId the identifier of the attempt's request
 * @param attempt the attempt's index, counted from 0 in forwarding order
 * @param endpointId the identifier of the endpoint that the attempt was forwarded to
 * @param status the outcome of the attempt
 * @param latencyNanos the time since the attempt was forwarded
 * @param requestCompleted whether the request is completed and needs no final response any more;
 *     the first {@link AttemptStatus#SERVED} attempt completes it without an action of the policy
 * @param loadReport the endpoint's load report; empty if it sent none
 * @param foundStaleConnection whether the attempt was reset on a pooled connection before any byte
 *     of a response arrived, which indicates a stale connection rather than a failing endpoint
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

  /** Creates an event for an attempt that did not find a stale connection. */
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
