package loadbalancer.scale.report;

import java.util.List;

/**
 * A cost as a function of a size. The report adds the line fitted through the points.
 *
 * @param name names the cost; unique in its experiment
 * @param sizeUnit the unit of the points' sizes, such as "endpoints"
 * @param valueUnit the unit of the points' values, such as "ms"
 * @param basis how the values were obtained
 * @param points in order of size
 */
public record Series(
    String name, String sizeUnit, String valueUnit, Basis basis, List<Point> points) {}
