package loadbalancer.scale.experiment;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.scale.config.ScaleConfiguration;

/** The experiments that a configuration has settings for. */
public final class ExperimentRegistry {

  private ExperimentRegistry() {}

  /**
   * Creates the configured experiments, in the order in which they run.
   *
   * @param seed determines everything that is random in the experiments
   */
  public static List<Experiment> configured(ScaleConfiguration configuration, long seed) {
    List<Experiment> experiments = new ArrayList<>();
    configuration.list().ifPresent(settings -> experiments.add(new ListExperiment(settings, seed)));
    configuration.cold().ifPresent(settings -> experiments.add(new ColdExperiment(settings, seed)));
    configuration
        .change()
        .ifPresent(settings -> experiments.add(new ChangeExperiment(settings, seed)));
    return experiments;
  }
}
