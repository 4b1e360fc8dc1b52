package loadbalancer.policy.settings;

/**
 * A class of requests. An answer within {@code latencyObjectiveNanos + objectiveStretch x own work}
 * earns the full priority weight, a later one before the deadline a fraction of it.
 *
 * @param name the class's name on the wire
 * @param effect whether a request may run more than once
 * @param deduplicationScope where a repeat is dropped, for requests with an idempotency key
 * @param deduplicationWindowNanos how long a repeat is dropped, from the first send that may have
 *     run
 * @param latencyObjectiveNanos the latency that clients want
 * @param objectiveStretch how many times its own work a request's objective is extended by
 * @param deadlineNanos how long a client waits, over all its retries
 * @param priorityWeight the worth of one answer in time, compared among classes
 * @param lateFraction the fraction of the weight that a late answer still earns
 * @param streamed whether responses are streamed
 */
public record RequestClass(
    String name,
    RequestEffect effect,
    DeduplicationScope deduplicationScope,
    long deduplicationWindowNanos,
    long latencyObjectiveNanos,
    double objectiveStretch,
    long deadlineNanos,
    double priorityWeight,
    double lateFraction,
    boolean streamed) {}
