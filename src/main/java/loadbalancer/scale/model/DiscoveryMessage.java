package loadbalancer.scale.model;

import loadbalancer.config.EndpointList;

/**
 * A message from a control machine to an agent or another control machine.
 *
 * @param afterVersion the version that the changes follow; -1 for a full list
 * @param payload the message as JSON on the wire
 * @param list the payload as read by the balancer's parser
 */
public record DiscoveryMessage(long afterVersion, String payload, EndpointList list) {

  /** The version of the list after the message. */
  public long version() {
    return list.version();
  }
}
