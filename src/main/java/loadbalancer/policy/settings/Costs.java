package loadbalancer.policy.settings;

/**
 * Cost weights, in points of the deployment's score per unit of each quantity.
 *
 * @param crossZone the cost of the fraction of first attempts that go to another zone
 * @param waste the cost of the fraction of work that contributed to no answer
 * @param lateFailure the cost of failures reported after the latency objective
 */
public record Costs(double crossZone, double waste, double lateFailure) {}
