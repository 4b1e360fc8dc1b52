package loadbalancer.proxy.telemetry;

/**
 * Groups endpoints whose latencies are comparable. The traffic log reports the mean latency of each
 * category separately; the lower-case name of a constant is part of the log keys.
 */
public enum EndpointCategory {
  /** In the zone of this proxy, and started longer ago than the warm-up time. */
  LOCAL_ZONE,
  /**
   * In another zone, and started longer ago than the warm-up time. Its latency includes the
   * cross-zone round trip.
   */
  REMOTE_ZONE,
  /** Started within the warm-up time before now, in any zone. */
  WARMING_UP
}
