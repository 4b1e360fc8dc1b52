package loadbalancer.scale.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the report file, the plots and the table of results. */
class ReportWriterTest {

  private static final ExperimentReport EXPERIMENT =
      ExperimentReport.of(
          new ExperimentResult(
              "list",
              List.of(
                  new Series(
                      "parse",
                      "endpoints",
                      "ms",
                      Basis.MEASURED,
                      List.of(new Point(1, 5), new Point(2, 7), new Point(4, 11))),
                  new Series(
                      "bytes", "endpoints", "bytes", Basis.SIMULATED, List.of(new Point(1, 80)))),
              List.of(new Fact("heap", 1.5, "MB", Basis.MEASURED))));

  /** The plot draws a marker for each point, and one in its legend. */
  private static final String POINT_MARKER = "<ellipse";

  private static final int LEGEND_MARKERS = 1;

  /** The style of lines through points; axes and grid have another. */
  private static final String FITTED_LINE = "stroke-linecap:round";

  @TempDir private Path directory;

  @Test
  void reportFileHasRunSeriesLineAndFacts() throws IOException {
    RunReport report =
        new RunReport(
            RunReport.FORMAT_VERSION, 7, "a.toml", JvmEnvironment.current(), List.of(EXPERIMENT));
    Path target = directory.resolve("new").resolve("report");
    ReportWriter.writeReport(report, target);
    JsonNode json =
        new ObjectMapper().readTree(Files.readString(target.resolve(ReportWriter.REPORT_FILE)));
    assertEquals(1, json.at("/format-version").asInt());
    assertEquals(7, json.at("/seed").asLong());
    assertEquals("a.toml", json.at("/file").asText());
    assertTrue(json.at("/environment/java-version").asText().startsWith("17"));
    assertTrue(json.at("/environment/jvm-flags").isArray());
    JsonNode experiment = json.at("/experiments/0");
    assertEquals("list", experiment.at("/experiment").asText());
    assertEquals(4, experiment.at("/series/0/points/2/size").asDouble());
    assertEquals(11, experiment.at("/series/0/points/2/value").asDouble());
    assertEquals(2, experiment.at("/series/0/line/slope").asDouble(), 1e-9);
    assertEquals(1, experiment.at("/series/0/line/r-squared").asDouble(), 1e-9);
    assertEquals(3, experiment.at("/series/0/line/residuals").size());
    assertTrue(experiment.at("/series/1/line").isNull());
    assertEquals("SIMULATED", experiment.at("/series/1/basis").asText());
    assertEquals("MB", experiment.at("/facts/0/unit").asText());
    assertEquals("MEASURED", experiment.at("/facts/0/basis").asText());
  }

  @Test
  void everySeriesHasAPlot() throws IOException {
    ReportWriter.writePlots(EXPERIMENT, directory);
    String withLine = Files.readString(directory.resolve("list-parse.svg"));
    String withoutLine = Files.readString(directory.resolve("list-bytes.svg"));
    assertTrue(withLine.contains("<svg"));
    assertEquals(3 + LEGEND_MARKERS, count(withLine, POINT_MARKER));
    assertEquals(1 + LEGEND_MARKERS, count(withoutLine, POINT_MARKER));
    assertTrue(withLine.contains(FITTED_LINE));
    assertFalse(withoutLine.contains(FITTED_LINE));
  }

  private static int count(String text, String part) {
    return text.split(part, -1).length - 1;
  }

  @Test
  void tableHasEverySeriesAndFact() {
    String table = SummaryTable.format(EXPERIMENT);
    List<String> lines = table.lines().toList();
    assertEquals("experiment list", lines.get(0));
    assertTrue(lines.get(2).matches("parse +4\\.0+ +11\\.0+ ms +2\\.000 +1\\.0000 +0%"), table);
    assertTrue(lines.get(3).matches("bytes +1\\.0+ +80\\.0+ bytes +- +- +-"), table);
    assertTrue(lines.get(5).matches("heap +1\\.50000 MB +measured"), table);
  }

  @Test
  void collectorGroupsPointsByName() {
    SeriesCollector collector = new SeriesCollector("endpoints");
    collector.add("parse", "ms", Basis.MEASURED, new Point(1, 5));
    collector.add("bytes", "bytes", Basis.SIMULATED, new Point(1, 80));
    collector.add("parse", "ms", Basis.MEASURED, new Point(2, 7));
    assertEquals(
        List.of(
            new Series(
                "parse",
                "endpoints",
                "ms",
                Basis.MEASURED,
                List.of(new Point(1, 5), new Point(2, 7))),
            new Series("bytes", "endpoints", "bytes", Basis.SIMULATED, List.of(new Point(1, 80)))),
        collector.series());
  }
}
