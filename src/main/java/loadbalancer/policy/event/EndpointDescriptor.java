package loadbalancer.policy.event;

/**
 * One entry of the endpoint list.
 *
 * @param endpointId identifies the endpoint at every balancer and across restarts of the endpoint
 * @param zone the availability zone that the endpoint runs in
 * @param deduplicationCell the cell whose endpoints deduplicate requests among each other
 * @param status whether the endpoint accepts new requests
 * @param startedNanos when the endpoint last started, on the balancer's clock; 0 if long ago
 * @param weight the relative size of the endpoint, interpreted as {@link
 *     loadbalancer.policy.settings.WeightKind} states
 */
public record EndpointDescriptor(
    long endpointId,
    String zone,
    int deduplicationCell,
    EndpointStatus status,
    long startedNanos,
    double weight) {}
