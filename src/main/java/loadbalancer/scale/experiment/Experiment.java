package loadbalancer.scale.experiment;

import java.util.function.DoubleConsumer;
import loadbalancer.scale.report.ExperimentResult;

/** One experiment of a scale run. */
public interface Experiment {

  /** The name of the experiment in the configuration and the report. */
  String name();

  /**
   * Runs the experiment to its end.
   *
   * @param progress receives the completed fraction of the experiment, from 0 to 1
   */
  ExperimentResult run(DoubleConsumer progress);
}
