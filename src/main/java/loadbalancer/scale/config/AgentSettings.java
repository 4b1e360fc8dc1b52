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
    FanOutChecks.aboveZero("detection-ms", detectionMs);
    FanOutChecks.aboveZero("connect-timeout-ms", connectTimeoutMs);
    FanOutChecks.aboveZero("backoff-base-ms", backoffBaseMs);
    FanOutChecks.inRange("backoff-max-ms", backoffMaxMs, backoffBaseMs, Double.MAX_VALUE);
    FanOutChecks.aboveZero("receive-megabits-per-second", receiveMegabitsPerSecond);
    FanOutChecks.notNegative("local-delay-ms", localDelayMs);
    FanOutChecks.notNegative("apply-message-microseconds", applyMessageMicroseconds);
    FanOutChecks.notNegative("apply-entry-microseconds", applyEntryMicroseconds);
    FanOutChecks.aboveZero("heartbeat-seconds", heartbeatSeconds);
    FanOutChecks.notNegative("heartbeat-bytes", heartbeatBytes);
  }
}
