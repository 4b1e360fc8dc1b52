package loadbalancer.policy.settings;

/**
 * What a unit of each kind costs, in points of the service's result.
 *
 * @param crossZone for the fraction of first attempts that cross zones
 * @param waste for the fraction of work that served no answer
 * @param lateFailure for failures that come after the latency objective
 */
public record Costs(double crossZone, double waste, double lateFailure) {}
