package loadbalancer.policy.event;

/**
 * Another balancer of the group sent a message.
 *
 * @param sender the instance index of the balancer that sent it
 * @param payload the message's bytes
 */
public record PeerMessageReceived(int sender, byte[] payload) implements Event {}
