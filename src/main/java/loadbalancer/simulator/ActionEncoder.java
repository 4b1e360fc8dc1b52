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

/** Writes the module's actions in the wire's words. */
final class ActionEncoder {

  private ActionEncoder() {}

  /** Writes one action as an object with a single key. */
  static void write(JsonGenerator out, Action action) throws IOException {
    if (action instanceof ForwardAttempt a) {
      open(out, "Deliver");
      out.writeStringField("rid", a.requestId());
      out.writeNumberField("patience-ns", a.timeoutNanos());
      out.writeNumberField("upstream", a.endpointId());
    } else if (action instanceof CancelAttempt a) {
      open(out, "AbortAttempt");
      out.writeStringField("rid", a.requestId());
      out.writeNumberField("go", a.attempt());
    } else if (action instanceof RejectRequest a) {
      open(out, "Decline");
      out.writeStringField("rid", a.requestId());
      out.writeNumberField("not-before-for-ns", a.retryAfterNanos());
    } else if (action instanceof FailRequest a) {
      open(out, "DropRequest");
      out.writeStringField("rid", a.requestId());
    } else if (action instanceof SetTimer a) {
      open(out, "SetTimer");
      out.writeStringField("handle", a.timerId());
      out.writeNumberField("fire-at-ns", a.fireAtNanos());
    } else if (action instanceof WatchEndpoints a) {
      open(out, "Observe");
      out.writeBooleanField("enable", a.enabled());
    } else if (action instanceof FetchEndpoints) {
      open(out, "Resolve");
    } else if (action instanceof CheckHealth a) {
      open(out, "SoundOut");
      out.writeNumberField("upstream", a.endpointId());
    } else if (action instanceof CloseIdleConnections a) {
      open(out, "Release");
      out.writeNumberField("upstream", a.endpointId());
    } else if (action instanceof SendPeerMessage a) {
      open(out, "BroadcastTo");
      out.writeNumberField("recipient", a.receiver());
      out.writeStringField("octets", Base64.getEncoder().encodeToString(a.payload()));
    } else if (action instanceof LogMessage a) {
      open(out, "Emit");
      out.writeStringField("note-text", a.text());
    }
    out.writeEndObject();
    out.writeEndObject();
  }

  /** Writes the report that an instance's decision code has failed. */
  static void writeFault(JsonGenerator out, RuntimeException e) throws IOException {
    open(out, "Fault");
    StackTraceElement[] trace = e.getStackTrace();
    out.writeStringField(
        "note-text",
        e.getClass().getName()
            + ": "
            + e.getMessage()
            + " at "
            + (trace.length == 0 ? "unknown place" : trace[0].toString()));
    out.writeEndObject();
    out.writeEndObject();
  }

  private static void open(JsonGenerator out, String name) throws IOException {
    out.writeStartObject();
    out.writeObjectFieldStart(name);
  }
}
