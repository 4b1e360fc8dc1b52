package loadbalancer.policy.event;

/** The status of an endpoint in the endpoint list. */
public enum EndpointStatus {
  /** In service; accepts new requests. */
  READY,
  /** Completes its requests in flight and accepts no new ones. */
  DRAINING,
  /** No longer in service. */
  REMOVED
}
