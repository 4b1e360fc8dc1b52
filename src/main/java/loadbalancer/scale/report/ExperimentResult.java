package loadbalancer.scale.report;

import java.util.List;

/**
 * What one experiment measured.
 *
 * @param experiment the name of the experiment
 * @param series costs as functions of a size
 * @param facts single values
 */
public record ExperimentResult(String experiment, List<Series> series, List<Fact> facts) {}
