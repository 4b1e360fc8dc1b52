package loadbalancer.scale.config;

/** The settings of the experiment "cold". */
public record ColdSettings() {}
