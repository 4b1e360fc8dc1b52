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

/** Checks how each enum value of the wire is decoded and which fields a message may omit. */
class EventDecoderTest {

  private static Event decode(String messageType, String fields) throws IOException {
    return EventDecoder.decode(messageType, JsonObjectReader.parse("message", fields));
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
  void resultIsDecodedAsAttemptStatus(String result, AttemptStatus status) throws IOException {
    Event event =
        decode("HealthResult", "{\"upstream\":7,\"wait-time-ns\":5,\"rc\":\"" + result + "\"}");
    assertEquals(status, ((HealthCheckCompleted) event).status());
  }

  @ParameterizedTest
  @CsvSource({"up, READY", "draining, DRAINING", "removed, REMOVED"})
  void stageStateIsDecodedAsEndpointStatus(String stageState, EndpointStatus status)
      throws IOException {
    String entry = "{\"upstream\":7,\"stage-state\":\"" + stageState + "\"}";
    Event event = decode("Topology", "{\"kind\":\"F\",\"entries\":[" + entry + "]}");
    assertEquals(status, ((EndpointListUpdate) event).entries().get(0).status());
  }

  @ParameterizedTest
  @CsvSource({"D, DELTA", "F, FULL", "C, CACHED", "X, FAILED"})
  void kindIsDecodedAsUpdateKind(String letter, EndpointListUpdate.Kind kind) throws IOException {
    Event event = decode("Topology", "{\"kind\":\"" + letter + "\",\"entries\":[]}");
    assertEquals(kind, ((EndpointListUpdate) event).kind());
  }

  @Test
  void onlyAFailedUpdateMayOmitEntries() throws IOException {
    assertEquals(
        new EndpointListUpdate(EndpointListUpdate.Kind.FAILED, List.of()),
        decode("Topology", "{\"kind\":\"X\"}"));
    WireFormatException malformed =
        assertThrows(WireFormatException.class, () -> decode("Topology", "{\"kind\":\"D\"}"));
    assertEquals("field message.entries: expected an array, got nothing", malformed.getMessage());
  }

  @ParameterizedTest
  @ValueSource(strings = {"", ",\"user-group\":0", ",\"user-group\":null"})
  void requestWithoutUserGroupHasNoTenant(String tenantField) throws IOException {
    Event event =
        decode(
            "JobIn", "{\"rid\":\"c:a\",\"service\":\"c\",\"drop-dead-ns\":9" + tenantField + "}");
    assertEquals(new RequestArrived("c:a", "c", null, null, 9, 0, false), event);
  }

  @Test
  void invalidBase64IsReportedWithItsField() {
    WireFormatException malformed =
        assertThrows(
            WireFormatException.class,
            () -> decode("Datagram", "{\"neighbour\":2,\"octets\":\"?\"}"));
    assertEquals("field message.octets: expected base64, got \"?\"", malformed.getMessage());
  }
}
