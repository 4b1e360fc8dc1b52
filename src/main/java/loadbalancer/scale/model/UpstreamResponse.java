package loadbalancer.scale.model;

import loadbalancer.policy.event.AttemptStatus;

/**
 * The answer of an upstream to one attempt.
 *
 * @param atNanos the simulated time of the answer
 * @param status the outcome of the attempt
 */
public record UpstreamResponse(long atNanos, AttemptStatus status) {}
