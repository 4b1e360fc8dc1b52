package loadbalancer.scale.experiment;

import java.util.List;
import java.util.function.DoubleConsumer;
import loadbalancer.scale.config.ChangeSettings;
import loadbalancer.scale.report.ExperimentResult;

/** The experiment "change". */
public final class ChangeExperiment implements Experiment {

  /** The name of the experiment in the configuration and the report. */
  public static final String NAME = "change";

  /** Creates the experiment; {@code seed} determines everything that is random in it. */
  public ChangeExperiment(ChangeSettings settings, long seed) {}

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public ExperimentResult run(DoubleConsumer progress) {
    return new ExperimentResult(NAME, List.of(), List.of());
  }
}
