package loadbalancer.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.scale.config.ChangeSettings;
import loadbalancer.scale.config.ColdSettings;
import loadbalancer.scale.config.ConfigurationFileException;
import loadbalancer.scale.config.ConfigurationLoader;
import loadbalancer.scale.config.ListSettings;
import loadbalancer.scale.config.ScaleConfiguration;
import loadbalancer.scale.experiment.ChangeExperiment;
import loadbalancer.scale.experiment.ColdExperiment;
import loadbalancer.scale.experiment.Experiment;
import loadbalancer.scale.experiment.ExperimentRegistry;
import loadbalancer.scale.experiment.ListExperiment;

/**
 * Checks the reports of two runs of the packaged program with one configuration file and seed. CI
 * runs it from its source, with the program's jar as class path. Times and heap are not checked.
 */
public final class ReportCheck {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String SIMULATED = "SIMULATED";

  private final ScaleConfiguration configuration;
  private final JsonNode report;

  private ReportCheck(ScaleConfiguration configuration, JsonNode report) {
    this.configuration = configuration;
    this.report = report;
  }

  /**
   * Exits with status 1 and an exception if a check fails.
   *
   * @param arguments the configuration file, and for each run its report directory, which also
   *     holds the log as run.log
   */
  public static void main(String[] arguments) throws IOException, ConfigurationFileException {
    check(arguments.length == 3, "expected FILE REPORT REPORT");
    ScaleConfiguration configuration = ConfigurationLoader.load(Path.of(arguments[0]));
    Path first = Path.of(arguments[1]);
    Path second = Path.of(arguments[2]);
    new ReportCheck(configuration, read(first)).checkReport();
    new ReportCheck(configuration, read(second)).checkReport();
    checkLog(first.resolve("run.log"));
    List<String> firstDecisions = simulatedValues(read(first));
    check(!firstDecisions.isEmpty(), "no simulated value in " + first);
    check(
        firstDecisions.equals(simulatedValues(read(second))),
        "runs with the same seed differ: " + first + ", " + second);
  }

  private static JsonNode read(Path directory) throws IOException {
    return JSON.readTree(Files.readString(directory.resolve("report.json")));
  }

  private void checkReport() {
    check(report.at("/format-version").asInt() == 1, "unexpected version of the format");
    check(report.at("/seed").asLong() == configuration.seed(), "unexpected seed");
    check(report.at("/environment/jvm-flags").isArray(), "no JVM flags");
    List<String> expected =
        ExperimentRegistry.configured(configuration, configuration.seed()).stream()
            .map(Experiment::name)
            .toList();
    List<String> present = new ArrayList<>();
    for (JsonNode experiment : report.at("/experiments")) {
      present.add(experiment.at("/experiment").asText());
      checkValues(experiment);
    }
    check(present.equals(expected), "expected experiments " + expected + ", got " + present);
    configuration.list().ifPresent(this::checkList);
    configuration.cold().ifPresent(this::checkCold);
    configuration.change().ifPresent(this::checkChange);
  }

  /** Checks what holds for every experiment. */
  private static void checkValues(JsonNode experiment) {
    String name = experiment.at("/experiment").asText();
    check(!experiment.at("/series").isEmpty(), name + ": no series");
    check(!experiment.at("/facts").isEmpty(), name + ": no facts");
    for (JsonNode series : experiment.at("/series")) {
      check(!series.at("/points").isEmpty(), name + ": no points in " + series.at("/name"));
      for (JsonNode point : series.at("/points")) {
        check(point.at("/value").isNumber(), name + ": no number in " + series.at("/name"));
      }
    }
    for (JsonNode fact : experiment.at("/facts")) {
      check(fact.at("/value").isNumber(), name + ": no number in " + fact.at("/name"));
    }
  }

  /** The smallest list must be as large as the burst, or series of bursts have fewer points. */
  private void checkList(ListSettings settings) {
    for (JsonNode series : experiment(ListExperiment.NAME).at("/series")) {
      String name = series.at("/name").asText();
      List<Double> sizes = new ArrayList<>();
      for (JsonNode point : series.at("/points")) {
        sizes.add(point.at("/size").asDouble());
        boolean counted = series.at("/value-unit").asText().equals("bytes");
        check(!counted || point.at("/value").asDouble() > 0, "list: " + name + " is not above 0");
      }
      List<Double> expected = settings.sizes().stream().map(Integer::doubleValue).toList();
      check(sizes.equals(expected), "list: " + name + " has sizes " + sizes);
    }
    JsonNode bytes = fact(ListExperiment.NAME, "full-list-bytes");
    check(bytes.at("/value").asDouble() > 0, "list: full-list-bytes is not above 0");
    check(bytes.at("/unit").asText().equals("bytes"), "list: full-list-bytes is not in bytes");
  }

  private void checkCold(ColdSettings settings) {
    List<Double> expected = settings.balancerCounts().stream().map(Integer::doubleValue).toList();
    for (JsonNode series : experiment(ColdExperiment.NAME).at("/series")) {
      boolean hasBalancers = series.at("/size-unit").asText().equals("balancers");
      check(
          !hasBalancers || sizes(series).equals(expected),
          "cold: " + series.at("/name") + " has sizes " + sizes(series));
    }
    check(sizes(series(ColdExperiment.NAME, "used-share")).equals(expected), "cold: used-share");
    double warmUpSeconds = settings.upstreams().warmUpSeconds();
    settings.balancerCounts().forEach(count -> checkRestarts(count, warmUpSeconds));
  }

  /** Checks the restarts with one number of balancers. */
  private void checkRestarts(int balancers, double warmUpSeconds) {
    String prefix = "balancers-" + balancers + ".";
    double overBudget = value(ColdExperiment.NAME, prefix + "windows-over-budget");
    check(overBudget == 0, "cold: " + overBudget + " windows over the budget, " + prefix);
    double leastShare = value(ColdExperiment.NAME, prefix + "used-share.min");
    double mostShare = value(ColdExperiment.NAME, prefix + "used-share.max");
    check(leastShare > 0, "cold: used share of " + leastShare + ", " + prefix);
    check(mostShare <= 1, "cold: used share of " + mostShare + ", " + prefix);
    // Without a request, the delay is longer than the warm-up.
    double delaySeconds = value(ColdExperiment.NAME, prefix + "first-request-delay.max");
    check(delaySeconds < warmUpSeconds, "cold: no request at the restarted upstream, " + prefix);
  }

  private void checkChange(ChangeSettings settings) {
    checkAboveZero("changes", "deliveries", "full-list-size", "balancer-mean", "machines-bytes");
    double missing = value(ChangeExperiment.NAME, "deliveries-missing");
    check(missing == 0, "change: " + missing + " deliveries are missing");
    double converged = value(ChangeExperiment.NAME, "sampled-balancers-converged");
    check(converged == settings.sampledBalancers(), "change: only " + converged + " converged");
    for (JsonNode fact : experiment(ChangeExperiment.NAME).at("/facts")) {
      String name = fact.at("/name").asText();
      if (name.endsWith("-missing")) {
        check(fact.at("/value").asDouble() == 0, "change: " + fact);
      }
      if (name.endsWith("-delay-p50")) {
        checkDelays(name.substring(0, name.length() - "p50".length()));
      }
    }
    checkAboveZero("steady-delay-p50");
    for (JsonNode point : series(ChangeExperiment.NAME, "balancer-bytes").at("/points")) {
      check(point.at("/value").asDouble() > 0, "change: balancer-bytes is not above 0");
    }
  }

  private void checkDelays(String prefix) {
    double p50 = value(ChangeExperiment.NAME, prefix + "p50");
    double p99 = value(ChangeExperiment.NAME, prefix + "p99");
    double worst = value(ChangeExperiment.NAME, prefix + "worst");
    check(p50 <= p99 && p99 <= worst, "change: " + prefix + " is not in order");
  }

  private void checkAboveZero(String... facts) {
    for (String name : facts) {
      check(value(ChangeExperiment.NAME, name) > 0, "change: " + name + " is not above 0");
    }
  }

  private static List<Double> sizes(JsonNode series) {
    List<Double> sizes = new ArrayList<>();
    series.at("/points").forEach(point -> sizes.add(point.at("/size").asDouble()));
    return sizes;
  }

  private JsonNode series(String experiment, String name) {
    for (JsonNode series : experiment(experiment).at("/series")) {
      if (series.at("/name").asText().equals(name)) {
        return series;
      }
    }
    throw new IllegalStateException(experiment + ": no series " + name);
  }

  private double value(String experiment, String fact) {
    return fact(experiment, fact).at("/value").asDouble();
  }

  private JsonNode experiment(String name) {
    for (JsonNode experiment : report.at("/experiments")) {
      if (experiment.at("/experiment").asText().equals(name)) {
        return experiment;
      }
    }
    throw new IllegalStateException("no experiment " + name);
  }

  private JsonNode fact(String experiment, String name) {
    for (JsonNode fact : experiment(experiment).at("/facts")) {
      if (fact.at("/name").asText().equals(name)) {
        return fact;
      }
    }
    throw new IllegalStateException(experiment + ": no fact " + name);
  }

  /** The series and facts that the seed determines, as text. */
  private static List<String> simulatedValues(JsonNode report) {
    List<String> values = new ArrayList<>();
    for (JsonNode experiment : report.at("/experiments")) {
      for (String kind : List.of("/series", "/facts")) {
        for (JsonNode value : experiment.at(kind)) {
          if (value.at("/basis").asText().equals(SIMULATED)) {
            values.add(experiment.at("/experiment") + " " + value);
          }
        }
      }
    }
    return values;
  }

  private static void checkLog(Path log) throws IOException {
    List<String> lines = Files.readAllLines(log);
    check(!lines.isEmpty(), log + ": no line");
    for (String line : lines) {
      check(JSON.readTree(line).isObject(), log + ": not a JSON object: " + line);
    }
  }

  private static void check(boolean holds, String message) {
    if (!holds) {
      throw new IllegalStateException(message);
    }
  }
}
