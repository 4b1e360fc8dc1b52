package loadbalancer.scale.experiment;

import java.util.List;
import java.util.function.DoubleConsumer;
import loadbalancer.scale.config.ListSettings;
import loadbalancer.scale.experiment.list.Cost;
import loadbalancer.scale.experiment.list.ListFacts;
import loadbalancer.scale.experiment.list.ListMeasurement;
import loadbalancer.scale.report.ExperimentResult;
import loadbalancer.scale.report.Point;
import loadbalancer.scale.report.SeriesCollector;

/**
 * The experiment "list": what the endpoint list costs one balancer, in bytes, time and heap, as it
 * grows with the fleet.
 */
public final class ListExperiment implements Experiment {

  /** The name of the experiment in the configuration and the report. */
  public static final String NAME = "list";

  private static final String SIZE_UNIT = "endpoints";

  private final ListSettings settings;
  private final long seed;

  /** Creates the experiment; {@code seed} determines everything that is random in it. */
  public ListExperiment(ListSettings settings, long seed) {
    this.settings = settings;
    this.seed = seed;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public ExperimentResult run(DoubleConsumer progress) {
    ListMeasurement measurement = new ListMeasurement(settings, seed);
    measurement.warmUp();
    SeriesCollector series = new SeriesCollector(SIZE_UNIT);
    double totalSize = settings.sizes().stream().mapToInt(Integer::intValue).sum();
    double completedSize = 0;
    List<Cost> costs = List.of();
    for (int size : settings.sizes()) {
      double completedBefore = completedSize;
      costs =
          measurement.measure(
              size, part -> progress.accept((completedBefore + part * size) / totalSize));
      for (Cost cost : costs) {
        series.add(cost.name(), cost.unit(), cost.basis(), new Point(size, cost.value()));
      }
      completedSize += size;
    }
    return new ExperimentResult(NAME, series.series(), new ListFacts(settings).of(costs));
  }
}
