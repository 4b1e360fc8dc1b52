package loadbalancer.scale.config;

/**
 * The arrival of requests at a service: a Poisson process whose rate rises during bursts.
 *
 * @param requestsPerSecond the rate outside of bursts, for each upstream of the service
 * @param burstMultiple the rate during a burst, as a multiple of {@code requestsPerSecond}
 * @param burstMs the duration of a burst
 * @param burstIntervalSeconds the mean time from the end of a burst to the next one; 0 for no
 *     bursts
 * @param keys the affinity keys
 * @param routes the routes, each a request class of the policy
 * @param tenants the tenants
 */
public record ArrivalSettings(
    double requestsPerSecond,
    double burstMultiple,
    double burstMs,
    double burstIntervalSeconds,
    PopularitySettings keys,
    PopularitySettings routes,
    PopularitySettings tenants) {

  private static final double MIN_REQUESTS_PER_SECOND = 0.001;
  private static final double MAX_REQUESTS_PER_SECOND = 1_000_000;
  private static final double MAX_BURST_MULTIPLE = 100;
  private static final double MAX_BURST_MS = 3_600_000;
  private static final double MAX_BURST_INTERVAL_SECONDS = 86_400;

  /** Checks the fields. */
  public ArrivalSettings {
    FieldCheck.inRange(
        "requests-per-second", MIN_REQUESTS_PER_SECOND, MAX_REQUESTS_PER_SECOND, requestsPerSecond);
    FieldCheck.present("keys", keys);
    FieldCheck.present("routes", routes);
    FieldCheck.present("tenants", tenants);
    FieldCheck.inRange("burst-multiple", 1, MAX_BURST_MULTIPLE, burstMultiple);
    FieldCheck.inRange("burst-ms", 0, MAX_BURST_MS, burstMs);
    FieldCheck.inRange(
        "burst-interval-seconds", 0, MAX_BURST_INTERVAL_SECONDS, burstIntervalSeconds);
  }
}
