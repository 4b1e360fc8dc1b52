package loadbalancer.policy.event;

/**
 * One entry of the endpoint list.
 *
 * @param endpointId the same at every balancer and after a restart of the endpoint
 * @param zone the availability zone that the endpoint runs in
 * @param deduplicationCell endpoints of one cell share the requests that they have seen
 * @param status whether the endpoint takes new requests
 * @param startedNanos when the endpoint last started, on the balancer's clock; 0 for long ago
 * @param weight the endpoint's relative size; its meaning is set by the deployment's weight kind
 */
public record EndpointDescriptor(
    long endpointId,
    String zone,
    int deduplicationCell,
    EndpointStatus status,
    long startedNanos,
    double weight) {}
