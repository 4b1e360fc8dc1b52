package loadbalancer.proxy.telemetry;

/** Endpoints by what their latency can be compared with; each category is averaged on its own. */
public enum EndpointCategory {
  /** In the zone of this balancer, past its warm-up. */
  LOCAL_ZONE,
  /** In another zone, past its warm-up: its latency includes the cross-zone round trip. */
  REMOTE_ZONE,
  /** Started within the warm-up time, in any zone. */
  WARMING_UP
}
