package loadbalancer.scale.config;

/** The settings of the experiment "list". */
public record ListSettings() {}
