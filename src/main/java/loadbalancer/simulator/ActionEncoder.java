package loadbalancer.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Base64;
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

/**
 * Encodes the policy's actions as messages of the simulator protocol. Each message is a JSON object
 * with a single field, whose name is the message type and whose value is an object with the
 * message's fields.
 */
final class ActionEncoder {

  private ActionEncoder() {}

  /**
   * Writes one action as a message.
   *
   * @throws IOException if the generator's output fails
   * @throws IllegalStateException if no message is defined for the action, which is a bug
   */
  static void write(JsonGenerator out, Action action) throws IOException {
    if (action instanceof ForwardAttempt forward) {
      writeForwardAttempt(out, forward);
    } else if (action instanceof CancelAttempt cancel) {
      writeCancelAttempt(out, cancel);
    } else if (action instanceof RejectRequest reject) {
      writeRejectRequest(out, reject);
    } else if (action instanceof FailRequest fail) {
      writeTextMessage(out, "DropRequest", "rid", fail.requestId());
    } else if (action instanceof SetTimer timer) {
      writeSetTimer(out, timer);
    } else if (action instanceof WatchEndpoints watch) {
      writeWatchEndpoints(out, watch);
    } else if (action instanceof FetchEndpoints) {
      startMessage(out, "Resolve");
      endMessage(out);
    } else if (action instanceof CheckHealth check) {
      writeEndpointMessage(out, "SoundOut", check.endpointId());
    } else if (action instanceof CloseIdleConnections close) {
      writeEndpointMessage(out, "Release", close.endpointId());
    } else if (action instanceof SendPeerMessage peerMessage) {
      writeSendPeerMessage(out, peerMessage);
    } else if (action instanceof LogMessage log) {
      writeTextMessage(out, "Emit", "note-text", log.text());
    } else {
      throw new IllegalStateException("no simulator message is defined for action " + action);
    }
  }

  /**
   * Writes a message that reports an exception thrown by a policy, with the location of the throw.
   * The simulator ends its run with this text.
   *
   * @throws IOException if the generator's output fails
   */
  static void writeFault(JsonGenerator out, RuntimeException exception) throws IOException {
    StackTraceElement[] trace = exception.getStackTrace();
    String location = trace.length == 0 ? "unknown location" : trace[0].toString();
    writeTextMessage(
        out,
        "Fault",
        "note-text",
        exception.getClass().getName() + ": " + exception.getMessage() + " at " + location);
  }

  private static void writeForwardAttempt(JsonGenerator out, ForwardAttempt forward)
      throws IOException {
    startMessage(out, "Deliver");
    out.writeStringField("rid", forward.requestId());
    out.writeNumberField("patience-ns", forward.timeoutNanos());
    out.writeNumberField("upstream", forward.endpointId());
    endMessage(out);
  }

  private static void writeCancelAttempt(JsonGenerator out, CancelAttempt cancel)
      throws IOException {
    startMessage(out, "AbortAttempt");
    out.writeStringField("rid", cancel.requestId());
    out.writeNumberField("go", cancel.attempt());
    endMessage(out);
  }

  private static void writeRejectRequest(JsonGenerator out, RejectRequest reject)
      throws IOException {
    startMessage(out, "Decline");
    out.writeStringField("rid", reject.requestId());
    out.writeNumberField("not-before-for-ns", reject.retryAfterNanos());
    endMessage(out);
  }

  private static void writeSetTimer(JsonGenerator out, SetTimer timer) throws IOException {
    startMessage(out, "SetTimer");
    out.writeStringField("handle", timer.timerId());
    out.writeNumberField("fire-at-ns", timer.fireAtNanos());
    endMessage(out);
  }

  private static void writeWatchEndpoints(JsonGenerator out, WatchEndpoints watch)
      throws IOException {
    startMessage(out, "Observe");
    out.writeBooleanField("enable", watch.enabled());
    endMessage(out);
  }

  private static void writeSendPeerMessage(JsonGenerator out, SendPeerMessage message)
      throws IOException {
    startMessage(out, "BroadcastTo");
    out.writeNumberField("recipient", message.receiver());
    out.writeStringField("octets", Base64.getEncoder().encodeToString(message.payload()));
    endMessage(out);
  }

  /** Writes a message whose only field is a string. */
  private static void writeTextMessage(JsonGenerator out, String name, String field, String text)
      throws IOException {
    startMessage(out, name);
    out.writeStringField(field, text);
    endMessage(out);
  }

  /** Writes a message whose only field is an endpoint id. */
  private static void writeEndpointMessage(JsonGenerator out, String name, long endpointId)
      throws IOException {
    startMessage(out, name);
    out.writeNumberField("upstream", endpointId);
    endMessage(out);
  }

  private static void startMessage(JsonGenerator out, String name) throws IOException {
    out.writeStartObject();
    out.writeObjectFieldStart(name);
  }

  private static void endMessage(JsonGenerator out) throws IOException {
    out.writeEndObject();
    out.writeEndObject();
  }
}
