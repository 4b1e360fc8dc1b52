package loadbalancer.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;

/**
 * An endpoint list of the discovery service; immutable.
 *
 * @param version of the service's list after this update
 * @param full whether this is the full list; otherwise it holds the changed entries only
 * @param endpoints the entries
 */
public record EndpointList(long version, boolean full, List<Endpoint> endpoints) {

  private static final Map<String, EndpointStatus> STATUSES =
      Map.of(
          "in_service",
          EndpointStatus.READY,
          "terminating",
          EndpointStatus.DRAINING,
          "terminated",
          EndpointStatus.REMOVED);

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The parameters of the 64-bit FNV-1a hash function. */
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

  private static final long FNV_PRIME = 0x100000001b3L;

  /**
   * One entry.
   *
   * @param address where the endpoint listens, as seen from this proxy
   * @param descriptor what the policy gets to know of it
   */
  public record Endpoint(InetSocketAddress address, EndpointDescriptor descriptor) {}

  /**
   * Reads a list in the form of the discovery service.
   *
   * @throws WireFormatException if a field is missing or malformed
   */
  public static EndpointList fromJson(JsonObjectReader list) {
    return new EndpointList(
        list.integer("index"),
        list.bool("snapshot", false),
        list.objects("endpoints").stream().map(EndpointList::endpoint).toList());
  }

  /** The version and the number of entries by status, as key=value pairs for a log line. */
  public String summary() {
    StringBuilder text = new StringBuilder("version=" + version + " full=" + full);
    for (EndpointStatus status : EndpointStatus.values()) {
      text.append(' ')
          .append(status.name().toLowerCase(Locale.ROOT))
          .append('=')
          .append(
              endpoints.stream()
                  .filter(endpoint -> endpoint.descriptor().status() == status)
                  .count());
    }
    return text.toString();
  }

  private static Endpoint endpoint(JsonObjectReader entry) {
    EndpointDescriptor descriptor =
        new EndpointDescriptor(
            endpointId(entry.text("name")),
            entry.text("zone", ""),
            (int) entry.integer("group", 0),
            entry.word("status", STATUSES),
            entry.integer("since_ms", 0) * NANOS_PER_MILLI,
            entry.number("weight", 1));
    return new Endpoint(entry.address("address"), descriptor);
  }

  /**
   * The number that stands for an endpoint's name: its FNV-1a hash, the same at every proxy and
   * after every restart, so that all proxies agree on the hash ring.
   */
  public static long endpointId(String name) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }
}
