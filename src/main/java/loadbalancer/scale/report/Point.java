package loadbalancer.scale.report;

/**
 * One point of a {@link Series}.
 *
 * @param size the size of the fleet or the list
 * @param value the cost at this size
 */
public record Point(double size, double value) {}
