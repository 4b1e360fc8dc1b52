package loadbalancer.scale.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the values of a configuration file, and the messages for wrong ones. */
class ConfigurationLoaderTest {

  private static final String VALID =
      """
      seed = 7
      [list]
      sizes = [10, 20]
      zones = 2
      services = 3
      warm-up-rounds = 0
      repetitions = 1
      changes = 4
      burst = 5
      slice = 2
      requests = 6
      heap-entries = 10
      stretch-limit-ms = 6.7
      heap-limit-mb = 128
      policy-heap-limit-mb = 64
      [list.change-mix]
      restart = 1
      drain = 0.5
      removal = 0
      addition = 2
      """;

  @TempDir private Path directory;

  private ScaleConfiguration load(String text) throws IOException, ConfigurationFileException {
    return ConfigurationLoader.load(Files.writeString(directory.resolve("run.toml"), text));
  }

  private String messageFor(String text) {
    ConfigurationFileException exception =
        assertThrows(ConfigurationFileException.class, () -> load(text));
    String file = directory.resolve("run.toml").toString();
    assertTrue(exception.getMessage().startsWith(file), exception.getMessage());
    return exception.getMessage().substring(file.length());
  }

  @Test
  void readsAllSettings() throws Exception {
    ScaleConfiguration configuration = load(VALID);
    ListSettings expected =
        new ListSettings(
            List.of(10, 20),
            /* zones= */ 2,
            /* services= */ 3,
            /* warmUpRounds= */ 0,
            /* repetitions= */ 1,
            /* changes= */ 4,
            new EntryChangeMix(1, 0.5, 0, 2),
            /* burst= */ 5,
            /* slice= */ 2,
            /* requests= */ 6,
            /* heapEntries= */ 10,
            /* stretchLimitMs= */ 6.7,
            /* heapLimitMb= */ 128,
            /* policyHeapLimitMb= */ 64);
    assertEquals(7, configuration.seed());
    assertEquals(Optional.of(expected), configuration.list());
    assertEquals(Optional.empty(), configuration.cold());
    assertEquals(Optional.empty(), configuration.change());
  }

  @Test
  void readsTheFilesOfTheRepository() throws Exception {
    assertTrue(ConfigurationLoader.load(Path.of("scale/list.toml")).list().isPresent());
    assertTrue(ConfigurationLoader.load(Path.of("scale/small.toml")).list().isPresent());
  }

  @Test
  void malformedFileIsReportedWithLineAndColumn() {
    assertTrue(messageFor("seed = 1\nseed : 2\n").startsWith(":2:"));
  }

  @Test
  void unknownSettingIsReportedByItsPath() {
    String message = messageFor(VALID.replace("[list.change-mix]", "speed = 3\n[list.change-mix]"));
    assertTrue(message.startsWith(": list.speed: unknown setting, expected one of "), message);
  }

  @Test
  void unknownExperimentIsReportedByItsName() {
    assertTrue(messageFor("seed = 1\n[other]\n").startsWith(": other: unknown setting"));
  }

  @Test
  void missingNumberIsReportedByItsPath() {
    assertEquals(
        ": list.zones: expected a value, got nothing",
        messageFor(VALID.replace("zones = 2\n", "")));
  }

  @Test
  void missingSeedIsReported() {
    assertEquals(
        ": seed: expected a value, got nothing", messageFor(VALID.replace("seed = 7\n", "")));
  }

  @Test
  void missingListAndTableAreReportedByTheirPath() {
    assertEquals(
        ": list.sizes: expected a value, got nothing",
        messageFor(VALID.replace("sizes = [10, 20]\n", "")));
    assertEquals(
        ": list.change-mix: expected a value, got nothing",
        messageFor(VALID.substring(0, VALID.indexOf("[list.change-mix]"))));
  }

  @Test
  void missingTablesOfTheExperimentColdAreReportedByTheirPath() throws IOException {
    String text = Files.readString(Path.of("scale/cold.toml"));
    assertEquals(
        ": cold.balancer-counts: expected a value, got nothing",
        messageFor(text.replaceFirst("balancer-counts = .*", "")));
    assertEquals(
        ": cold.arrivals.keys: expected a value, got nothing",
        messageFor(text.replaceFirst("keys = .*", "")));
    assertEquals(
        ": cold.upstreams: expected a value, got nothing",
        messageFor(text.substring(0, text.indexOf("[cold.upstreams]"))));
  }

  @Test
  void valueOutOfRangeIsReportedWithAllowedAndActualValue() {
    assertEquals(
        ": list.repetitions: expected at least 1, got 0",
        messageFor(VALID.replace("repetitions = 1", "repetitions = 0")));
    assertEquals(
        ": list.sizes: expected increasing sizes above 0, got [20, 10]",
        messageFor(VALID.replace("[10, 20]", "[20, 10]")));
    assertEquals(
        ": list.change-mix.drain: expected at least 0, got -0.5",
        messageFor(VALID.replace("drain = 0.5", "drain = -0.5")));
  }

  @Test
  void valueOfAnotherTypeIsReportedByItsPath() {
    String text = messageFor(VALID.replace("zones = 2", "zones = \"two\""));
    assertTrue(text.startsWith(": list.zones: "), text);
    String fraction = messageFor(VALID.replace("zones = 2", "zones = 2.5"));
    assertTrue(fraction.startsWith(": list.zones: "), fraction);
  }
}
