package loadbalancer.scale.report;

import java.util.List;

/**
 * The content of the report file.
 *
 * @param formatVersion the version of the report file's format
 * @param seed the seed of the run
 * @param file the path of the configuration file, as given on the command line
 * @param environment the JVM that the run used
 * @param experiments the results, in the order in which the experiments ran
 */
public record RunReport(
    int formatVersion,
    long seed,
    String file,
    JvmEnvironment environment,
    List<ExperimentReport> experiments) {

  /** The version of the format that this class describes. */
  public static final int FORMAT_VERSION = 1;
}
