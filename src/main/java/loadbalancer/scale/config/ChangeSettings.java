package loadbalancer.scale.config;

/** The settings of the experiment "change". */
public record ChangeSettings() {}
