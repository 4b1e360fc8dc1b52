package loadbalancer.scale.model;

/**
 * What a control machine has done.
 *
 * @param messages the number of messages sent
 * @param bytes the bytes sent, with the headers of packets
 * @param fullLists how many of the messages were full lists
 * @param coreBusyNanos the processor time
 * @param worstCoreShare the largest busy share of the core in a second
 * @param worstLinkShare the largest busy share of the link in a second
 */
public record ControlMachineLoad(
    long messages,
    long bytes,
    long fullLists,
    long coreBusyNanos,
    double worstCoreShare,
    double worstLinkShare) {}
