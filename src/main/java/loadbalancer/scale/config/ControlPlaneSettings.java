package loadbalancer.scale.config;

/**
 * The control machines of discovery; all values are assumptions. A control machine has one core for
 * its fan-out and one network link, and handles its messages one after the other.
 *
 * @param machines the number of control machines
 * @param replication how changes get from the leader to the other control machines
 * @param commitMs the time in which the leader makes a change durable
 * @param takeoverMs the time from the loss of the leader until another machine is the leader
 * @param batchMs the time for which the leader collects changes before it sends them
 * @param historyChanges the number of changes that a control machine keeps; a watch that asks for
 *     older ones gets the full list
 * @param historySurvivesRestart whether a control machine still has that history after a restart
 * @param sendMessageMicroseconds the processor time for sending a message
 * @param sendByteNanoseconds the processor time for sending a byte
 * @param receiveMessageMicroseconds the processor time for receiving a message
 * @param linkGigabitsPerSecond the bandwidth of a control machine's link
 */
public record ControlPlaneSettings(
    int machines,
    Replication replication,
    double commitMs,
    double takeoverMs,
    double batchMs,
    int historyChanges,
    boolean historySurvivesRestart,
    double sendMessageMicroseconds,
    double sendByteNanoseconds,
    double receiveMessageMicroseconds,
    double linkGigabitsPerSecond) {

  /** Checks the ranges of the settings. */
  public ControlPlaneSettings {
    FieldCheck.aboveZero("machines", machines);
    FieldCheck.present("replication", replication);
    FieldCheck.atLeast("commit-ms", 0, commitMs);
    FieldCheck.aboveZero("takeover-ms", takeoverMs);
    FieldCheck.atLeast("batch-ms", 0, batchMs);
    FieldCheck.aboveZero("history-changes", historyChanges);
    FieldCheck.atLeast("send-message-microseconds", 0, sendMessageMicroseconds);
    FieldCheck.atLeast("send-byte-nanoseconds", 0, sendByteNanoseconds);
    FieldCheck.atLeast("receive-message-microseconds", 0, receiveMessageMicroseconds);
    FieldCheck.aboveZero("link-gigabits-per-second", linkGigabitsPerSecond);
  }
}
