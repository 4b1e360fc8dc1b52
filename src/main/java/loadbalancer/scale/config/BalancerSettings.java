package loadbalancer.scale.config;

/**
 * The settings that all balancers of a service share.
 *
 * @param zones the number of availability zones of balancers and upstreams
 * @param crossZoneCost the cost of the fraction of requests that go to another zone; 0 for no
 *     preference of the local zone
 * @param latencyObjectiveMs the latency that clients expect
 * @param deadlineMs how long clients wait for a response
 * @param maxAttempts the maximum number of attempts per request
 */
public record BalancerSettings(
    int zones,
    double crossZoneCost,
    double latencyObjectiveMs,
    double deadlineMs,
    int maxAttempts) {

  private static final int MAX_ZONES = 1_000;
  private static final double MAX_COST = 1_000;
  private static final double MAX_DURATION_MS = 3_600_000;
  private static final int MAX_ATTEMPTS = 100;

  /** Checks the fields. */
  public BalancerSettings {
    FieldCheck.inRange("zones", 1, MAX_ZONES, zones);
    FieldCheck.inRange("cross-zone-cost", 0, MAX_COST, crossZoneCost);
    FieldCheck.inRange("latency-objective-ms", 1, MAX_DURATION_MS, latencyObjectiveMs);
    FieldCheck.inRange("deadline-ms", latencyObjectiveMs, MAX_DURATION_MS, deadlineMs);
    FieldCheck.inRange("max-attempts", 1, MAX_ATTEMPTS, maxAttempts);
  }
}
