package loadbalancer.policy.settings;

/**
 * A class of requests. A response within {@code latencyObjectiveNanos + objectiveStretch * work}
 * earns the full priority weight; a later one, before the deadline, earns a fraction of it.
 *
 * @param name the class's name, as requests give it
 * @param effect whether a request may run more than once
 * @param deduplicationScope the endpoints that drop a repeated request with an idempotency key
 * @param deduplicationWindowNanos how long they drop it, from the first attempt that may have run
 * @param latencyObjectiveNanos the latency that clients expect, before the extension by work
 * @param objectiveStretch the multiple of a request's work that extends its latency objective
 * @param deadlineNanos how long a client waits for its response, including its own retries
 * @param priorityWeight the value of a response within the objective, relative to other classes
 * @param lateFraction the fraction of the priority weight that a late response earns
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
