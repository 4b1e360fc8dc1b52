package loadbalancer.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import loadbalancer.config.WireFormatException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the exact replies of sessions and the error message for each kind of malformed input. */
class SimulatorSessionTest {

  private static final String REQUEST_CLASS =
      "{\"name\":\"c\",\"aim-ns\":400000000,\"deadline-ns\":2000000000,"
          + "\"effect\":\"idempotent\",\"unknown\":[1,{}]}";
  private static final String PROVISION =
      "{\"clock-ns\":1000000000,\"groups\":[{\"balancer\":3,\"msgs\":["
          + "{\"Provision\":{\"seed\":1,\"boot-info\":{\"novel\":1.5,\"categories\":["
          + REQUEST_CLASS
          + "],\"registry-mode\":\"on_request\"}}},"
          + "{\"Topology\":{\"kind\":\"C\",\"stamp\":1,\"entries\":[{\"hw\":\"x\",\"launched-ns\":null,\"pack\":0,"
          + "\"upstream\":7,\"region-part\":\"\",\"stage-state\":\"up\",\"capacity-hint\":1}]}}]}]}";

  private static final String JOB_IN =
      "{\"JobIn\":{\"rid\":\"c:a\",\"service\":\"c\",\"user-group\":0,"
          + "\"object\":\"91f03b7c55d20a64\",\"drop-dead-ns\":2500000000,\"weight-hint-ns\":null,\"retry\":false,"
          + "\"write\":false}}";

  /** Runs a session on these lines and returns its replies. */
  private static String repliesTo(String... lines) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    String text = String.join("\n", lines) + "\n";
    new SimulatorSession(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)), out)
        .run();
    return out.toString(StandardCharsets.UTF_8);
  }

  private static String batch(long nowNanos, String messages) {
    return "{\"clock-ns\":"
        + nowNanos
        + ",\"groups\":[{\"balancer\":3,\"msgs\":["
        + messages
        + "]}]}";
  }

  private static String reply(String actions) {
    return "{\"groups\":[{\"balancer\":3,\"actions\":[" + actions + "]}]}\n";
  }

  @Test
  void emptyBatchHasAnEmptyReply() throws IOException {
    assertEquals("{\"groups\":[]}\n", repliesTo("{\"clock-ns\":1,\"groups\":[]}"));
  }

  @Test
  void everyMessageTypeFromProvisionToKillIsDecoded() throws IOException {
    String expected =
        reply("{\"Observe\":{\"enable\":true}}")
            + reply(
                "{\"Deliver\":{\"rid\":\"c:a\",\"patience-ns\":1400000000,\"upstream\":7}},"
                    + "{\"SetTimer\":{\"handle\":\"sweep\",\"fire-at-ns\":1150000000}}")
            + reply("")
            + reply("")
            + reply("")
            + reply("")
            + reply("")
            + reply("");
    assertEquals(
        expected,
        repliesTo(
            PROVISION,
            batch(1_100_000_000L, JOB_IN),
            batch(1_110_000_000L, "{\"Fired\":{\"handle\":\"sweep\"}}"),
            batch(
                1_112_000_000L,
                "{\"First\":{\"rid\":\"c:a\",\"go\":0,\"upstream\":7,\"wait-time-ns\":5}}"),
            batch(
                1_115_000_000L,
                "{\"Resolved\":{\"rid\":\"c:a\",\"go\":0,\"upstream\":7,\"rc\":\"served\","
                    + "\"wait-time-ns\":15000000,\"done-flag\":true,\"usage\":{\"util\":0.5,\"odd\":\"x\"}}}"),
            batch(1_116_000_000L, "{\"Aborted\":{\"rid\":\"c:a\"}}"),
            batch(
                1_117_000_000L,
                "{\"HealthResult\":{\"rc\":\"served\",\"upstream\":7,\"wait-time-ns\":5,\"usage\":null}},"
                    + "{\"Datagram\":{\"neighbour\":0,\"octets\":\"aGkgNw==\"}}"),
            batch(1_118_000_000L, "{\"Kill\":{}}")));
  }

  /** A request of an unknown class is not malformed input, so the session continues. */
  @Test
  void requestOfAnUnknownClassIsRejectedAndLogged() throws IOException {
    String replies =
        repliesTo(
            PROVISION,
            batch(1_100_000_000L, JOB_IN.replace("\"service\":\"c\"", "\"service\":\"nope\"")));
    assertTrue(
        replies.contains(
            reply(
                "{\"Emit\":{\"note-text\":\"admission: request rejected reason=unknown_class"
                    + " class=nope\"}},{\"Decline\":{\"rid\":\"c:a\",\"not-before-for-ns\":0}}")),
        replies);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "nonsense | line 2: not JSON",
        "{\"clock-ns\":1} | line 2: field batch.groups: expected an array, got nothing",
        "{\"clock-ns\":\"x\",\"groups\":[]} | line 2: field batch.clock-ns: expected an"
            + " integer, got \"x\"",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":9,\"msgs\":[{\"Kill\":{}}]}]} | balancer 9 is"
            + " not provisioned",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":3,\"msgs\":[{\"Odd\":{}}]}]} | msgs[0].Odd:"
            + " unknown event type",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":3,\"msgs\":[{\"Fired\":{}}]}]} | Fired.handle:"
            + " expected a string",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":3,\"msgs\":[{\"HealthResult\":{\"rc\":\"fine\"}}]}]}"
            + " | expected an integer",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":3,\"msgs\":[{\"HealthResult\":{\"upstream\":1,\"rc\":\"fine\"}}]}]}"
            + " | rc: expected one of",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":3,\"msgs\":[{}]}]} | msgs[0]: expected"
            + " exactly one field, got 0",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":3,\"msgs\":[{\"Provision\":{\"seed\":1}}]}]}"
            + " | Provision.boot-info: expected an object, got nothing",
        "{\"clock-ns\":1,\"groups\":[]} {} | line 2: field batch: expected one JSON object, got"
            + " more than one value"
      })
  void malformedInputIsReportedWithItsLineAndField(String line, String message) {
    WireFormatException malformed =
        assertThrows(WireFormatException.class, () -> repliesTo(PROVISION, line));
    assertTrue(malformed.getMessage().startsWith("line 2: "), malformed.getMessage());
    assertTrue(malformed.getMessage().contains(message), malformed.getMessage());
  }

  @Test
  void invalidSettingsAreReportedWithTheirName() {
    WireFormatException noClasses =
        assertThrows(
            WireFormatException.class, () -> repliesTo(PROVISION.replace(REQUEST_CLASS, "")));
    assertEquals(
        "line 1: settings: categories: must have at least one entry, got 0",
        noClasses.getMessage());
    WireFormatException negativeObjective =
        assertThrows(
            WireFormatException.class,
            () -> repliesTo(PROVISION.replace("\"aim-ns\":400000000", "\"aim-ns\":-4")));
    assertEquals(
        "line 1: settings: aim-ns of category c: must be above 0, got -4",
        negativeObjective.getMessage());
  }
}
