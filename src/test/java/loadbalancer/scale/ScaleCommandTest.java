package loadbalancer.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.DoubleConsumer;
import loadbalancer.scale.config.ScaleConfiguration;
import loadbalancer.scale.experiment.Experiment;
import loadbalancer.scale.experiment.ExperimentRegistry;
import loadbalancer.scale.report.ExperimentResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Tests the command line: its exit status, its messages and a whole run. */
class ScaleCommandTest {

  /** Measures in well below a second. */
  private static final String ONE_SIZE =
      """
      seed = 1
      [list]
      sizes = [20]
      zones = 2
      services = 3
      warm-up-rounds = 0
      repetitions = 1
      changes = 4
      burst = 5
      slice = 2
      requests = 20
      heap-entries = 20
      stretch-limit-ms = 6.7
      heap-limit-mb = 128
      policy-heap-limit-mb = 64
      [list.change-mix]
      restart = 1
      drain = 1
      removal = 1
      addition = 1
      """;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final StringWriter err = new StringWriter();
  @TempDir private Path directory;

  private int execute(String... arguments) {
    return execute(ExperimentRegistry::configured, arguments);
  }

  private int execute(
      BiFunction<ScaleConfiguration, Long, List<Experiment>> registry, String... arguments) {
    CommandLine commandLine =
        ScaleCommand.commandLine(new PrintStream(out, true, StandardCharsets.UTF_8), registry);
    StringWriter usage = new StringWriter();
    commandLine.setOut(new PrintWriter(usage, true));
    commandLine.setErr(new PrintWriter(err, true));
    int status = commandLine.execute(arguments);
    out.writeBytes(usage.toString().getBytes(StandardCharsets.UTF_8));
    return status;
  }

  private String write(String text) throws IOException {
    return Files.writeString(directory.resolve("run.toml"), text).toString();
  }

  @Test
  void runWritesReportOfTheSelectedExperimentWithTheGivenSeed() throws IOException {
    String report = directory.resolve("report").toString();
    int status =
        execute("scale", write(ONE_SIZE), "--report", report, "--seed", "9", "--only", "list");
    assertEquals(0, status, err.toString());
    JsonNode json = new ObjectMapper().readTree(Files.readString(Path.of(report, "report.json")));
    assertEquals(9, json.at("/seed").asLong());
    assertEquals(1, json.at("/experiments").size());
    assertEquals("list", json.at("/experiments/0/experiment").asText());
    assertTrue(out.toString(StandardCharsets.UTF_8).startsWith("experiment list"));
    assertTrue(Files.exists(Path.of(report, "list-full-list-bytes.svg")));
  }

  @Test
  void helpAndVersionEndWithStatusZero() {
    assertEquals(0, execute("--help"));
    assertEquals(0, execute("scale", "--help"));
    assertEquals(0, execute("--version"));
    assertTrue(out.toString(StandardCharsets.UTF_8).contains("--only=NAME"));
  }

  @Test
  void invalidCommandLineEndsWithStatusTwo() {
    assertEquals(2, execute());
    assertEquals(2, execute("scale"));
    assertEquals(2, execute("scale", "scale/small.toml", "--seed", "x"));
    assertEquals(2, execute("scale", directory.resolve("missing.toml").toString()));
    assertTrue(err.toString().contains("no such file"), err.toString());
  }

  @Test
  void invalidFileEndsWithStatusTwoAndNamesTheField() throws IOException {
    assertEquals(2, execute("scale", write("seed = 1\nspeed = 2\n")));
    assertTrue(err.toString().contains("run.toml: speed: unknown setting"), err.toString());
  }

  @Test
  void experimentThatIsNotConfiguredEndsWithStatusTwo() throws IOException {
    assertEquals(2, execute("scale", "scale/small.toml", "--only", "other"));
    assertTrue(err.toString().contains("no experiment 'other', configured: [list"));
    assertEquals(2, execute("scale", write("seed = 1\n")));
    assertTrue(err.toString().contains("no experiment, configured: []"), err.toString());
  }

  @Test
  void reportThatCannotBeWrittenEndsWithStatusOne() throws IOException {
    String file = write(ONE_SIZE);
    assertEquals(1, execute("scale", file, "--report", file));
  }

  @Test
  void experimentThatThrowsEndsWithStatusOneAndOneLineOnItsFirstCause() throws IOException {
    Exception firstCause = new IllegalStateException("2 requests pending");
    String message = "experiment failing failed: " + firstCause + System.lineSeparator();
    assertEquals(1, executeFailing(new IllegalStateException("a trial failed", firstCause)));
    assertEquals(message, err.toString());
  }

  @Test
  void experimentThatThrowsAnErrorEndsWithStatusOneAndOneLine() throws IOException {
    Error failure = new OutOfMemoryError("Java heap space");
    assertEquals(1, executeFailing(failure));
    assertEquals("experiment failing failed: " + failure + System.lineSeparator(), err.toString());
  }

  /** Runs one experiment that throws the failure, and returns the status. */
  private int executeFailing(Throwable failure) throws IOException {
    String report = directory.resolve("report").toString();
    return execute(
        (configuration, seed) -> List.of(new FailingExperiment(failure)),
        "scale",
        write(ONE_SIZE),
        "--report",
        report);
  }

  /** An experiment that throws an unchecked exception or an error. */
  private record FailingExperiment(Throwable failure) implements Experiment {

    @Override
    public String name() {
      return "failing";
    }

    @Override
    public ExperimentResult run(DoubleConsumer progress) {
      if (failure instanceof Error error) {
        throw error;
      }
      throw (RuntimeException) failure;
    }
  }
}
