package loadbalancer.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.scale.experiment.Experiment;
import loadbalancer.scale.report.ExperimentReport;
import loadbalancer.scale.report.JvmEnvironment;
import loadbalancer.scale.report.ReportWriter;
import loadbalancer.scale.report.RunReport;
import loadbalancer.scale.report.SummaryTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs experiments one after the other and writes their report. */
final class ScaleRun {

  private static final Logger LOG = LoggerFactory.getLogger(ScaleRun.class);

  private final Path file;
  private final long seed;
  private final Path reportDirectory;
  private final PrintStream out;

  /**
   * Creates a run.
   *
   * @param file the configuration file, which the report names
   * @param seed the seed of the experiments, which the report names
   * @param reportDirectory the directory that the report file and the plots are written to
   * @param out receives the tables of results
   */
  ScaleRun(Path file, long seed, Path reportDirectory, PrintStream out) {
    this.file = file;
    this.seed = seed;
    this.reportDirectory = reportDirectory;
    this.out = out;
  }

  /**
   * Runs the experiments. The report file is written after each, so that a run that is ended early
   * leaves the results so far. The plots are drawn last.
   *
   * @throws IOException if the report or a plot cannot be written
   * @throws ExperimentFailedException if an experiment throws an exception; the ones after it are
   *     not run
   */
  void run(List<Experiment> experiments) throws IOException, ExperimentFailedException {
    JvmEnvironment environment = JvmEnvironment.current();
    LOG.atInfo()
        .addKeyValue("file", file)
        .addKeyValue("seed", seed)
        .addKeyValue("jvmFlags", environment.jvmFlags())
        .log("run started");
    List<ExperimentReport> reports = new ArrayList<>();
    for (Experiment experiment : experiments) {
      ExperimentReport report = run(experiment);
      reports.add(report);
      ReportWriter.writeReport(
          new RunReport(
              RunReport.FORMAT_VERSION, seed, file.toString(), environment, List.copyOf(reports)),
          reportDirectory);
      out.print(SummaryTable.format(report));
    }
    for (ExperimentReport report : reports) {
      ReportWriter.writePlots(report, reportDirectory);
    }
    out.println("report: " + reportDirectory.resolve(ReportWriter.REPORT_FILE));
    LOG.atInfo().addKeyValue("directory", reportDirectory).log("run completed");
  }

  private static ExperimentReport run(Experiment experiment) throws ExperimentFailedException {
    LOG.atInfo().addKeyValue("experiment", experiment.name()).log("experiment started");
    long startNanos = System.nanoTime();
    try (ProgressDisplay progress = ProgressDisplay.of(experiment.name())) {
      ExperimentReport report = ExperimentReport.of(experiment.run(progress));
      LOG.atInfo()
          .addKeyValue("experiment", experiment.name())
          .addKeyValue("elapsedMs", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
          .log("experiment completed");
      return report;
    } catch (RuntimeException | Error e) {
      throw new ExperimentFailedException(experiment.name(), e);
    }
  }
}
