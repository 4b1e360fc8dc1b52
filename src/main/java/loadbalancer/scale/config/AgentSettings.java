package loadbalancer.scale.config;

/**
 * The discovery agents and the balancers behind them; all values but those of {@code apply} are
 * assumptions.
 *
 * @param detectionMs the time in which a silent connection counts as failed
 * @param connectTimeoutMs the time in which an attempt to connect fails
 * @param backoffBaseMs the longest delay of the first attempt to reconnect; doubles with each
 *     further attempt, with full jitter
 * @param backoffMaxMs the upper limit of that delay
 * @param receiveMegabitsPerSecond the bandwidth at which an agent receives a message
 * @param localDelayMs the delay from an agent to its balancer
 * @param applyMessageMicroseconds the time in which a balancer applies a message, without entries
 * @param applyEntryMicroseconds the time in which a balancer applies an entry of a message
 * @param heartbeatSeconds the interval of heartbeats
 * @param heartbeatBytes the size of a heartbeat on the network
 */
public record AgentSettings(
    double detectionMs,
    double connectTimeoutMs,
    double backoffBaseMs,
    double backoffMaxMs,
    double receiveMegabitsPerSecond,
    double localDelayMs,
    double applyMessageMicroseconds,
    double applyEntryMicroseconds,
    double heartbeatSeconds,
    int heartbeatBytes) {

  /** Checks the ranges of the settings. */
  public AgentSettings {
    FieldCheck.aboveZero("detection-ms", detectionMs);
    FieldCheck.aboveZero("connect-timeout-ms", connectTimeoutMs);
    FieldCheck.aboveZero("backoff-base-ms", backoffBaseMs);
    FieldCheck.inRange("backoff-max-ms", backoffBaseMs, Double.MAX_VALUE, backoffMaxMs);
    FieldCheck.aboveZero("receive-megabits-per-second", receiveMegabitsPerSecond);
    FieldCheck.atLeast("local-delay-ms", 0, localDelayMs);
    FieldCheck.atLeast("apply-message-microseconds", 0, applyMessageMicroseconds);
    FieldCheck.atLeast("apply-entry-microseconds", 0, applyEntryMicroseconds);
    FieldCheck.aboveZero("heartbeat-seconds", heartbeatSeconds);
    FieldCheck.atLeast("heartbeat-bytes", 0, heartbeatBytes);
  }
}
