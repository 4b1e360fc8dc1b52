package loadbalancer.policy.event;

/**
 * A message from another balancer of the group arrived.
 *
 * @param sender the sender's instance index
 * @param payload the content of the message
 */
public record PeerMessageReceived(int sender, byte[] payload) implements Event {}
