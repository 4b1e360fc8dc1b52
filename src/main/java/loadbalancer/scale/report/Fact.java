package loadbalancer.scale.report;

/**
 * A single value of an experiment.
 *
 * @param name names the value; unique in its experiment
 * @param value the value
 * @param unit the unit of the value
 * @param basis how the value was obtained
 */
public record Fact(String name, double value, String unit, Basis basis) {}
