package loadbalancer.scale.report;

import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes the report file and the plots of a run. */
public final class ReportWriter {

  /** The name of the report file. */
  public static final String REPORT_FILE = "report.json";

  private static final String PLOT_EXTENSION = ".svg";

  private static final ObjectWriter JSON =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .propertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
          .build()
          .writerWithDefaultPrettyPrinter();

  private ReportWriter() {}

  /**
   * Writes {@link #REPORT_FILE} to a directory.
   *
   * @throws IOException if the directory or the file cannot be written
   */
  public static void writeReport(RunReport report, Path directory) throws IOException {
    Files.createDirectories(directory);
    Files.writeString(
        directory.resolve(REPORT_FILE), JSON.writeValueAsString(report) + System.lineSeparator());
  }

  /**
   * Writes one plot for each series of an experiment, named after both.
   *
   * @throws IOException if the directory or a file cannot be written
   */
  public static void writePlots(ExperimentReport experiment, Path directory) throws IOException {
    Files.createDirectories(directory);
    for (SeriesReport series : experiment.series()) {
      String name = experiment.experiment() + "-" + series.name() + PLOT_EXTENSION;
      SeriesPlot.write(series, directory.resolve(name));
    }
  }
}
