package loadbalancer.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import loadbalancer.config.JsonObjectReader;
import loadbalancer.config.WireFormatException;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.HealthCheckCompleted;
import loadbalancer.policy.event.RequestArrived;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The policy's word for each word of the wire, and what a message may leave out. */
class EventDecoderTest {

  private static Event decode(String messageName, String fields) throws IOException {
    return EventDecoder.decode(messageName, JsonObjectReader.parse("message", fields));
  }

  @ParameterizedTest
  @CsvSource({
    "served, SERVED",
    "server_error, ERROR",
    "turned_away, REJECTED",
    "no_answer, TIMEOUT",
    "no_connection, CONNECT_FAILED",
    "connection_lost, RESET",
    "called_off, CANCELLED",
    "not_sent, NOT_SENT"
  })
  void resultIsTheAttemptStatus(String result, AttemptStatus status) throws IOException {
    Event event =
        decode("HealthResult", "{\"upstream\":7,\"wait-time-ns\":5,\"rc\":\"" + result + "\"}");
    assertEquals(status, ((HealthCheckCompleted) event).status());
  }

  @ParameterizedTest
  @CsvSource({"up, READY", "draining, DRAINING", "removed, REMOVED"})
  void stageIsTheEndpointStatus(String stage, EndpointStatus status) throws IOException {
    String entry = "{\"upstream\":7,\"stage-state\":\"" + stage + "\"}";
    Event event = decode("Topology", "{\"kind\":\"F\",\"entries\":[" + entry + "]}");
    assertEquals(status, ((EndpointListUpdate) event).entries().get(0).status());
  }

  @ParameterizedTest
  @CsvSource({"D, DELTA", "F, FULL", "C, CACHED", "X, FAILED"})
  void kindIsTheUpdateKind(String letter, EndpointListUpdate.Kind kind) throws IOException {
    Event event = decode("Topology", "{\"kind\":\"" + letter + "\",\"entries\":[]}");
    assertEquals(kind, ((EndpointListUpdate) event).kind());
  }

  @Test
  void onlyAFailedUpdateMayLackEntries() throws IOException {
    assertEquals(
        new EndpointListUpdate(EndpointListUpdate.Kind.FAILED, List.of()),
        decode("Topology", "{\"kind\":\"X\"}"));
    WireFormatException malformed =
        assertThrows(WireFormatException.class, () -> decode("Topology", "{\"kind\":\"D\"}"));
    assertEquals("field message.entries: expected an array, got nothing", malformed.getMessage());
  }

  @ParameterizedTest
  @ValueSource(strings = {"", ",\"user-group\":0", ",\"user-group\":null"})
  void requestOfADeploymentWithoutTenantsHasNone(String tenantField) throws IOException {
    Event event =
        decode(
            "JobIn", "{\"rid\":\"c:a\",\"service\":\"c\",\"drop-dead-ns\":9" + tenantField + "}");
    assertEquals(new RequestArrived("c:a", "c", null, null, 9, 0, false), event);
  }

  @Test
  void unreadablePayloadIsReportedWithItsField() {
    WireFormatException malformed =
        assertThrows(
            WireFormatException.class,
            () -> decode("Datagram", "{\"neighbour\":2,\"octets\":\"?\"}"));
    assertEquals("field message.octets: expected base64, got \"?\"", malformed.getMessage());
  }
}
