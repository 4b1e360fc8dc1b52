package loadbalancer.simulator;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import loadbalancer.config.JsonObjectReader;
import loadbalancer.config.WireFormatException;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.ClientDisconnected;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.HealthCheckCompleted;
import loadbalancer.policy.event.PeerMessageReceived;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.event.ResponseStarted;
import loadbalancer.policy.event.TimerFired;

/**
 * Decodes messages of the simulator protocol into the policy's events. Fields that no event uses
 * are ignored, as are unknown ones.
 */
final class EventDecoder {

  private static final Map<String, AttemptStatus> ATTEMPT_STATUSES =
      Map.of(
          "served", AttemptStatus.SERVED,
          "server_error", AttemptStatus.ERROR,
          "turned_away", AttemptStatus.REJECTED,
          "no_answer", AttemptStatus.TIMEOUT,
          "no_connection", AttemptStatus.CONNECT_FAILED,
          "connection_lost", AttemptStatus.RESET,
          "called_off", AttemptStatus.CANCELLED,
          "not_sent", AttemptStatus.NOT_SENT);
  private static final Map<String, EndpointStatus> ENDPOINT_STATUSES =
      Map.of(
          "up", EndpointStatus.READY,
          "draining", EndpointStatus.DRAINING,
          "removed", EndpointStatus.REMOVED);
  private static final Map<String, EndpointListUpdate.Kind> UPDATE_KINDS =
      Map.of(
          "D", EndpointListUpdate.Kind.DELTA,
          "F", EndpointListUpdate.Kind.FULL,
          "C", EndpointListUpdate.Kind.CACHED,
          "X", EndpointListUpdate.Kind.FAILED);

  private EventDecoder() {}

  /**
   * Decodes a message of the given type. {@code Provision} and {@code Kill}, which create and
   * remove a policy, are not events and count as unknown here.
   *
   * @throws WireFormatException if the type is unknown, a required field is missing or a field is
   *     malformed
   */
  static Event decode(String messageType, JsonObjectReader fields) {
    return switch (messageType) {
      case "Topology" -> endpointListUpdate(fields);
      case "JobIn" -> requestArrived(fields);
      case "First" -> responseStarted(fields);
      case "Resolved" -> attemptCompleted(fields);
      case "Aborted" -> new ClientDisconnected(fields.text("rid"));
      case "Fired" -> new TimerFired(fields.text("handle"));
      case "HealthResult" -> healthCheckCompleted(fields);
      case "Datagram" ->
          new PeerMessageReceived((int) fields.integer("neighbour"), payload(fields));
      default -> throw new WireFormatException("field " + fields.path() + ": unknown event type");
    };
  }

  private static RequestArrived requestArrived(JsonObjectReader fields) {
    return new RequestArrived(
        fields.text("rid"),
        fields.text("service"),
        tenant(fields),
        fields.text("object", null),
        fields.integer("drop-dead-ns"),
        fields.integer("weight-hint-ns", 0),
        fields.bool("retry", false));
  }

  private static ResponseStarted responseStarted(JsonObjectReader fields) {
    return new ResponseStarted(
        fields.text("rid"),
        (int) fields.integer("go"),
        fields.integer("upstream"),
        fields.integer("wait-time-ns"));
  }

  private static AttemptCompleted attemptCompleted(JsonObjectReader fields) {
    return new AttemptCompleted(
        fields.text("rid"),
        (int) fields.integer("go"),
        fields.integer("upstream"),
        fields.enumValue("rc", ATTEMPT_STATUSES),
        fields.integer("wait-time-ns"),
        fields.bool("done-flag"),
        fields.numbers("usage"));
  }

  private static HealthCheckCompleted healthCheckCompleted(JsonObjectReader fields) {
    return new HealthCheckCompleted(
        fields.integer("upstream"),
        fields.enumValue("rc", ATTEMPT_STATUSES),
        fields.integer("wait-time-ns"),
        fields.numbers("usage"));
  }

  /**
   * Returns the tenant, or null if the field is missing or 0, as in deployments without tenants.
   */
  private static String tenant(JsonObjectReader fields) {
    return fields.isZero("user-group") ? null : fields.text("user-group", null);
  }

  private static byte[] payload(JsonObjectReader fields) {
    String encoded = fields.text("octets");
    try {
      return Base64.getDecoder().decode(encoded);
    } catch (IllegalArgumentException malformed) {
      throw new WireFormatException(
          "field " + fields.path() + ".octets: expected base64, got \"" + encoded + "\"");
    }
  }

  private static EndpointListUpdate endpointListUpdate(JsonObjectReader fields) {
    EndpointListUpdate.Kind kind = fields.enumValue("kind", UPDATE_KINDS);
    List<EndpointDescriptor> entries = new ArrayList<>();
    boolean entriesOptional = kind == EndpointListUpdate.Kind.FAILED;
    if (!entriesOptional || fields.has("entries")) {
      for (JsonObjectReader entry : fields.objects("entries")) {
        entries.add(endpointDescriptor(entry));
      }
    }
    return new EndpointListUpdate(kind, entries);
  }

  private static EndpointDescriptor endpointDescriptor(JsonObjectReader entry) {
    return new EndpointDescriptor(
        entry.integer("upstream"),
        entry.text("region-part", ""),
        (int) entry.integer("pack", 0),
        entry.enumValue("stage-state", ENDPOINT_STATUSES),
        entry.integer("launched-ns", 0),
        entry.number("capacity-hint", 1));
  }
}
