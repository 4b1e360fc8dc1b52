package loadbalancer.policy.action;

/**
 * Send a message to other balancers of the group.
 *
 * @param receiver the receiver's instance index, or -1 for all of them
 * @param payload at most 256 bytes
 */
public record SendPeerMessage(int receiver, byte[] payload) implements Action {}
