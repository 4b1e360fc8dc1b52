package loadbalancer.policy.event;

/** What the endpoint list says of an endpoint. */
public enum EndpointStatus {
  /** In service; takes new requests. */
  READY,
  /** Finishes what it has and takes nothing new. */
  DRAINING,
  /** No longer in service. */
  REMOVED
}
