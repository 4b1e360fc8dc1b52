package loadbalancer.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.CancelAttempt;
import loadbalancer.policy.action.CheckHealth;
import loadbalancer.policy.action.CloseIdleConnections;
import loadbalancer.policy.action.FailRequest;
import loadbalancer.policy.action.FetchEndpoints;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.LogMessage;
import loadbalancer.policy.action.RejectRequest;
import loadbalancer.policy.action.SendPeerMessage;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.action.WatchEndpoints;
import org.junit.jupiter.api.Test;

/** Checks the exact JSON of each action's message. */
class ActionEncoderTest {

  private final StringWriter json = new StringWriter();

  @Test
  void everyActionIsEncodedAsItsMessage() throws IOException {
    List<Action> actions =
        List.of(
            new ForwardAttempt("a", 7, 5),
            new CancelAttempt("a", 1),
            new RejectRequest("a", 9),
            new FailRequest("a"),
            new SetTimer("t", 3),
            new WatchEndpoints(false),
            new FetchEndpoints(),
            new CheckHealth(7),
            new CloseIdleConnections(7),
            new SendPeerMessage(-1, "hi 7".getBytes(StandardCharsets.UTF_8)),
            new LogMessage("x"));
    assertEquals(Action.class.getPermittedSubclasses().length, actions.size());

    try (JsonGenerator out = new JsonFactory().createGenerator(json)) {
      out.writeStartArray();
      for (Action action : actions) {
        ActionEncoder.write(out, action);
      }
      out.writeEndArray();
    }

    assertEquals(
        "[{\"Deliver\":{\"rid\":\"a\",\"patience-ns\":5,\"upstream\":7}},"
            + "{\"AbortAttempt\":{\"rid\":\"a\",\"go\":1}},{\"Decline\":{\"rid\":\"a\",\"not-before-for-ns\":9}},"
            + "{\"DropRequest\":{\"rid\":\"a\"}},{\"SetTimer\":{\"handle\":\"t\",\"fire-at-ns\":3}},"
            + "{\"Observe\":{\"enable\":false}},{\"Resolve\":{}},{\"SoundOut\":{\"upstream\":7}},"
            + "{\"Release\":{\"upstream\":7}},{\"BroadcastTo\":{\"recipient\":-1,\"octets\":\"aGkgNw==\"}},"
            + "{\"Emit\":{\"note-text\":\"x\"}}]",
        json.toString());
  }

  @Test
  void policyExceptionIsEncodedAsAFaultWithItsTypeMessageAndLocation() throws IOException {
    try (JsonGenerator out = new JsonFactory().createGenerator(json)) {
      ActionEncoder.writeFault(out, new IllegalStateException("odd"));
    }
    assertTrue(
        json.toString()
            .startsWith(
                "{\"Fault\":{\"note-text\":\"java.lang.IllegalStateException: odd at"
                    + " loadbalancer.simulator.ActionEncoderTest."),
        json.toString());
  }
}
