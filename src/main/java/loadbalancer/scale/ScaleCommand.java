package loadbalancer.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.BiFunction;
import loadbalancer.scale.config.ConfigurationFileException;
import loadbalancer.scale.config.ConfigurationLoader;
import loadbalancer.scale.config.ScaleConfiguration;
import loadbalancer.scale.experiment.Experiment;
import loadbalancer.scale.experiment.ExperimentRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The command line of the scale run. The exit status is 0 after a complete run, 1 if the run or its
 * report failed, and 2 for an invalid command line or configuration file.
 */
@Command(
    name = "load-balancer-scale",
    mixinStandardHelpOptions = true,
    versionProvider = VersionProvider.class,
    synopsisSubcommandLabel = "COMMAND",
    description = "Shows how the cost of balancers and discovery grows with the fleet.",
    subcommands = ScaleCommand.Scale.class)
public final class ScaleCommand implements Callable<Integer> {

  private static final Logger LOG = LoggerFactory.getLogger(ScaleCommand.class);

  @Spec private CommandSpec spec;

  private ScaleCommand() {}

  /** Runs the experiments of a configuration file and exits with the status. */
  public static void main(String[] arguments) {
    // The plots are drawn without a display.
    System.setProperty("java.awt.headless", "true");
    System.exit(commandLine(System.out, ExperimentRegistry::configured).execute(arguments));
  }

  /**
   * Creates the parser of the command line.
   *
   * @param out receives the tables of results
   * @param registry returns the experiments of a configuration, given the seed of the run
   */
  static CommandLine commandLine(
      PrintStream out, BiFunction<ScaleConfiguration, Long, List<Experiment>> registry) {
    CommandLine commandLine =
        new CommandLine(
            new ScaleCommand(),
            new CommandLine.IFactory() {
              @Override
              public <K> K create(Class<K> type) throws Exception {
                return type == Scale.class
                    ? type.cast(new Scale(out, registry))
                    : CommandLine.defaultFactory().create(type);
              }
            });
    commandLine.setExecutionExceptionHandler(ScaleCommand::printFailure);
    return commandLine;
  }

  /** Prints the usage text, since a command is missing. */
  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "Missing command: scale");
  }

  private static int printFailure(
      Exception failure, CommandLine commandLine, CommandLine.ParseResult parseResult) {
    PrintWriter err = commandLine.getErr();
    if (failure instanceof ConfigurationFileException) {
      err.println(failure.getMessage());
      return CommandLine.ExitCode.USAGE;
    }
    LOG.atError().setCause(failure).log("run failed");
    err.println(failure instanceof ExperimentFailedException ? failure.getMessage() : failure);
    return CommandLine.ExitCode.SOFTWARE;
  }

  /** The command "scale", which runs the experiments of a configuration file. */
  @Command(
      name = "scale",
      mixinStandardHelpOptions = true,
      versionProvider = VersionProvider.class,
      description = "Runs the experiments of a configuration file and writes a report.")
  static final class Scale implements Callable<Integer> {

    @Parameters(paramLabel = "FILE", description = "The configuration file (TOML).")
    private Path file;

    @Option(
        names = "--report",
        paramLabel = "DIR",
        defaultValue = "target/scale-report",
        description = "The directory of the report and the plots (default: ${DEFAULT-VALUE}).")
    private Path reportDirectory;

    @Option(
        names = "--seed",
        paramLabel = "N",
        description = "The seed of the run, in place of the one in the file.")
    private Long seed;

    @Option(
        names = "--only",
        paramLabel = "NAME",
        description = "Runs one of the configured experiments only.")
    private String only;

    @Spec private CommandSpec spec;
    private final PrintStream out;
    private final BiFunction<ScaleConfiguration, Long, List<Experiment>> registry;

    private Scale(
        PrintStream out, BiFunction<ScaleConfiguration, Long, List<Experiment>> registry) {
      this.out = out;
      this.registry = registry;
    }

    @Override
    public Integer call()
        throws IOException, ConfigurationFileException, ExperimentFailedException {
      ScaleConfiguration configuration = loadConfiguration();
      long runSeed = seed == null ? configuration.seed() : seed;
      List<Experiment> experiments = selected(registry.apply(configuration, runSeed));
      new ScaleRun(file, runSeed, reportDirectory, out).run(experiments);
      return CommandLine.ExitCode.OK;
    }

    private ScaleConfiguration loadConfiguration() throws IOException, ConfigurationFileException {
      try {
        return ConfigurationLoader.load(file);
      } catch (NoSuchFileException e) {
        throw new ParameterException(spec.commandLine(), "FILE: no such file: " + file, e);
      }
    }

    private List<Experiment> selected(List<Experiment> configured) {
      List<Experiment> selected =
          configured.stream()
              .filter(experiment -> only == null || experiment.name().equals(only))
              .toList();
      if (selected.isEmpty()) {
        List<String> names = configured.stream().map(Experiment::name).toList();
        String experiment = only == null ? "" : " '" + only + "'";
        throw new ParameterException(
            spec.commandLine(), file + ": no experiment" + experiment + ", configured: " + names);
      }
      return selected;
    }
  }
}
