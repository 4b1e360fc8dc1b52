package loadbalancer.policy.action;

/**
 * Sends a message to other balancers of the group.
 *
 * @param receiver the receiver's instance index, or -1 for all other balancers of the group
 * @param payload the content of the message, at most 256 bytes
 */
public record SendPeerMessage(int receiver, byte[] payload) implements Action {}
