package loadbalancer.scale.model;

/**
 * Where a machine runs.
 *
 * @param region the index of the region
 * @param zone the index of the zone, unique over all regions
 */
public record Location(int region, int zone) {}
